package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes how the context of requests slows down an engine and fills its memory. Immutable.
 *
 * @param meanPromptTokens the mean number of tokens in a prompt, 0 if not stated
 * @param stepTimePerThousandTokens the time that 1,000 tokens of context add to a decoding step,
 *     not null
 * @param prefillTimePerMillionPairs the time that a million pairs of a token and an earlier one add
 *     to the prefill of a prompt, not null
 * @param memoryTokens the number of tokens of context that fit into the memory of a replica, 0 if
 *     not stated
 */
public record ContextProfile(
    int meanPromptTokens,
    Duration stepTimePerThousandTokens,
    Duration prefillTimePerMillionPairs,
    long memoryTokens) {

  /** The profile of an engine that states nothing about contexts. */
  public static final ContextProfile NONE = new ContextProfile(0, Duration.ZERO, Duration.ZERO, 0);

  /** Validates the components. */
  public ContextProfile {
    Objects.requireNonNull(stepTimePerThousandTokens, "stepTimePerThousandTokens");
    Objects.requireNonNull(prefillTimePerMillionPairs, "prefillTimePerMillionPairs");
  }
}
