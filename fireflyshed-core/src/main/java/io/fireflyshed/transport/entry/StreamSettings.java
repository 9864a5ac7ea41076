package io.fireflyshed.transport.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * The timeouts of completions.
 *
 * @param timeout the maximum time for a complete answer, over all attempts, not null
 * @param firstTokenTimeout the maximum wait for the first token of an attempt, not null
 * @param nextTokenTimeout the maximum wait for each later token of an attempt, not null
 * @param closedReplicaTimeout the maximum wait for a token from a replica that takes no new
 *     requests, not null
 */
public record StreamSettings(
    Duration timeout,
    Duration firstTokenTimeout,
    Duration nextTokenTimeout,
    Duration closedReplicaTimeout) {

  /** Validates the components. */
  public StreamSettings {
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(firstTokenTimeout, "firstTokenTimeout");
    Objects.requireNonNull(nextTokenTimeout, "nextTokenTimeout");
    Objects.requireNonNull(closedReplicaTimeout, "closedReplicaTimeout");
  }

  /**
   * Returns settings with the default timeouts for tokens.
   *
   * @param timeout the maximum time for a complete answer, over all attempts, not null
   * @return the settings, never null
   */
  public static StreamSettings of(Duration timeout) {
    return new StreamSettings(
        timeout, Duration.ofSeconds(30), Duration.ofSeconds(10), Duration.ofSeconds(2));
  }

  /**
   * Returns the default settings, with which a request may run for ten minutes.
   *
   * @return the settings, never null
   */
  public static StreamSettings ofDefaults() {
    return of(Duration.ofMinutes(10));
  }
}
