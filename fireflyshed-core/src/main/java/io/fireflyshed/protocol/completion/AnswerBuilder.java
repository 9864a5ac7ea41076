package io.fireflyshed.protocol.completion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.replica.ServiceName;
import java.nio.ByteBuffer;
import java.util.Objects;

/**
 * Builds the response to a non-streaming completion request from the events of a stream. Not thread
 * safe.
 */
public final class AnswerBuilder {

  private final CompletionKind kind;
  private final String requestId;
  private final ServiceName model;
  private final StringBuilder text = new StringBuilder();
  private String finishReason = "stop";
  private int tokens;

  /**
   * Creates a builder without text.
   *
   * @param kind the kind of the request, not null
   * @param requestId the id of the request that the caller receives, not null
   * @param model the model service, not null
   */
  public AnswerBuilder(CompletionKind kind, String requestId, ServiceName model) {
    this.kind = Objects.requireNonNull(kind, "kind");
    this.requestId = Objects.requireNonNull(requestId, "requestId");
    this.model = Objects.requireNonNull(model, "model");
  }

  /**
   * Appends the tokens of complete events.
   *
   * @param events complete server-sent events, each with a JSON text or the end marker as its data,
   *     not null
   * @return this builder
   * @throws IllegalArgumentException if the data of an event is not JSON
   */
  public AnswerBuilder append(ByteBuffer events) {
    byte[] bytes = new byte[events.remaining()];
    events.duplicate().get(bytes);
    for (SseEvent event : new SseDecoder().decode(bytes)) {
      if (!event.isDone()) {
        append(event.getText());
      }
    }
    return this;
  }

  private void append(String data) {
    JsonNode choice = JsonUtils.parse(data).path("choices").path(0);
    JsonNode token =
        kind == CompletionKind.CHAT ? choice.path("delta").path("content") : choice.path("text");
    text.append(token.asText(""));
    finishReason = choice.path("finish_reason").asText(finishReason);
    tokens++;
  }

  /**
   * Returns the response.
   *
   * @return a JSON text, never null
   */
  public String toJson() {
    ObjectNode response = JsonUtils.getMapper().createObjectNode();
    response.put("id", requestId);
    response.put("object", kind == CompletionKind.CHAT ? "chat.completion" : "text_completion");
    response.put("model", model.value());
    ObjectNode choice = response.putArray("choices").addObject();
    choice.put("index", 0);
    if (kind == CompletionKind.CHAT) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", finishReason);
    response.putObject("usage").put("completion_tokens", tokens);
    return JsonUtils.toText(response);
  }
}
