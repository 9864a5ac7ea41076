package io.fireflyshed.protocol.traffic;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * The size of a generation request, the model that it uses and the parts of its prompt.
 *
 * @param model the model, not null
 * @param promptTokens the number of tokens in the prompt, not negative
 * @param maxAnswerTokens the maximum number of tokens in the answer, not negative
 * @param estimatedAnswerTokens the caller's estimate of the number of tokens in the answer, empty
 *     if it states none, not null
 * @param sharedParts the ids of the parts of the prompt that other requests may contain, too, in
 *     the order of the prompt, copied, not null
 */
public record PromptDescriptor(
    String model,
    int promptTokens,
    int maxAnswerTokens,
    OptionalInt estimatedAnswerTokens,
    List<String> sharedParts) {

  /** Validates the components and copies the list. */
  public PromptDescriptor {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(estimatedAnswerTokens, "estimatedAnswerTokens");
    if (promptTokens < 0 || maxAnswerTokens < 0 || estimatedAnswerTokens.orElse(0) < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
    sharedParts = List.copyOf(sharedParts);
  }
}
