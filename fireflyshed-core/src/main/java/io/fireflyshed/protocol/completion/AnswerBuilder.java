package io.fireflyshed.protocol.completion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.replica.ServiceName;
import java.nio.ByteBuffer;
import java.util.Objects;

/** Joins the events of a stream to one answer. Not thread safe. */
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
   * @param kind the form of the request, not null
   * @param requestId the id that the caller sees, not null
   * @param model the model service, not null
   */
  public AnswerBuilder(CompletionKind kind, String requestId, ServiceName model) {
    this.kind = Objects.requireNonNull(kind, "kind");
    this.requestId = Objects.requireNonNull(requestId, "requestId");
    this.model = Objects.requireNonNull(model, "model");
  }

  /**
   * Appends the texts of whole events.
   *
   * @param frames server-sent events whose data are JSON texts or the end event, not null
   * @return this builder
   * @throws IllegalArgumentException if a text is not JSON
   */
  public AnswerBuilder append(ByteBuffer frames) {
    byte[] bytes = new byte[frames.remaining()];
    frames.duplicate().get(bytes);
    for (SseEvent event : new SseDecoder().decode(bytes)) {
      if (!event.isDone()) {
        append(event.getText());
      }
    }
    return this;
  }

  private void append(String data) {
    JsonNode choice = JsonUtils.parse(data).path("choices").path(0);
    JsonNode part =
        kind == CompletionKind.CHAT ? choice.path("delta").path("content") : choice.path("text");
    text.append(part.asText(""));
    finishReason = choice.path("finish_reason").asText(finishReason);
    tokens++;
  }

  /**
   * Gets the answer.
   *
   * @return a JSON text, never null
   */
  public String toJson() {
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    answer.put("id", requestId);
    answer.put("object", kind == CompletionKind.CHAT ? "chat.completion" : "text_completion");
    answer.put("model", model.value());
    ObjectNode choice = answer.putArray("choices").addObject();
    choice.put("index", 0);
    if (kind == CompletionKind.CHAT) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", finishReason);
    answer.putObject("usage").put("completion_tokens", tokens);
    return JsonUtils.toText(answer);
  }
}
