package io.fireflyshed.protocol.traffic;

import java.util.Objects;

/**
 * The size of a generation request and the model that it uses.
 *
 * @param model the model, not null
 * @param promptTokens the number of tokens in the prompt, not negative
 * @param maxAnswerTokens the maximum number of tokens in the answer, not negative
 */
public record PromptDescriptor(String model, int promptTokens, int maxAnswerTokens) {

  /** Validates the components. */
  public PromptDescriptor {
    Objects.requireNonNull(model, "model");
    if (promptTokens < 0 || maxAnswerTokens < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
  }
}
