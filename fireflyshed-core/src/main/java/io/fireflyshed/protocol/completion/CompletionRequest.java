package io.fireflyshed.protocol.completion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.IdentifierUtils;
import io.fireflyshed.state.replica.ServiceName;

/**
 * A completion request from a caller.
 *
 * @param kind the kind of the request, not null
 * @param model the model service, not null
 * @param prompt the prompt, or the concatenated messages in their order, not null
 * @param isStream whether the caller requests a stream
 * @param maxTokens the maximum number of tokens to generate, positive
 * @param body the whole body as it was received, not null
 */
public record CompletionRequest(
    CompletionKind kind,
    ServiceName model,
    String prompt,
    boolean isStream,
    int maxTokens,
    ObjectNode body) {

  /** The maximum number of tokens to generate if the request does not set one. */
  public static final int DEFAULT_MAX_TOKENS = 256;

  /** The largest maximum number of tokens that a request may set. */
  public static final int MAX_TOKENS_LIMIT = 131_072;

  /**
   * Parses a request body.
   *
   * @param kind the kind of the request, not null
   * @param bytes the body in UTF-8, not null
   * @return the request, never null
   * @throws IllegalArgumentException if the body is not a valid request; the message states the
   *     reason
   */
  public static CompletionRequest parse(CompletionKind kind, byte[] bytes) {
    if (!(JsonUtils.parse(bytes) instanceof ObjectNode body)) {
      throw new IllegalArgumentException("the request body must be a JSON object");
    }
    JsonNode model = body.path("model");
    if (!model.isTextual() || !IdentifierUtils.isIdentifier(model.textValue())) {
      throw new IllegalArgumentException("model must be the name of a model service");
    }
    JsonNode stream = body.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw new IllegalArgumentException("stream must be true or false");
    }
    String prompt = kind == CompletionKind.CHAT ? joinMessages(body) : readPrompt(body);
    return new CompletionRequest(
        kind,
        new ServiceName(model.textValue()),
        prompt,
        stream.asBoolean(false),
        readMaxTokens(body),
        body);
  }

  private static int readMaxTokens(ObjectNode body) {
    JsonNode maxTokens =
        body.has("max_tokens") ? body.get("max_tokens") : body.path("max_completion_tokens");
    if (maxTokens.isMissingNode()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!maxTokens.isIntegralNumber()
        || !maxTokens.canConvertToInt()
        || maxTokens.intValue() < 1
        || maxTokens.intValue() > MAX_TOKENS_LIMIT) {
      throw new IllegalArgumentException(
          "max_tokens must be an integer from 1 to " + MAX_TOKENS_LIMIT);
    }
    return maxTokens.intValue();
  }

  private static String readPrompt(ObjectNode body) {
    JsonNode prompt = body.path("prompt");
    if (!prompt.isTextual()) {
      throw new IllegalArgumentException("prompt must be a string");
    }
    return prompt.textValue();
  }

  private static String joinMessages(ObjectNode body) {
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw new IllegalArgumentException("messages must be a non-empty array");
    }
    StringBuilder joined = new StringBuilder();
    for (JsonNode message : messages) {
      if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
        throw new IllegalArgumentException(
            "each message must have a role and a content, which must be strings");
      }
      joined.append(message.get("role").textValue()).append(": ");
      joined.append(message.get("content").textValue()).append('\n');
    }
    return joined.toString();
  }
}
