package io.fireflyshed.protocol.traffic;

import java.util.Objects;

/**
 * Describes the work of a generation.
 *
 * @param model the model, not null
 * @param promptTokens the number of tokens of the prompt, not negative
 * @param maxAnswerTokens the most tokens of the answer, not negative
 */
public record PromptDescriptor(String model, int promptTokens, int maxAnswerTokens) {

  /** Checks the parts of the record. */
  public PromptDescriptor {
    Objects.requireNonNull(model, "model");
    if (promptTokens < 0 || maxAnswerTokens < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
  }
}
