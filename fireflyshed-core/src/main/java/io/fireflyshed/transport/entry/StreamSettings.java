package io.fireflyshed.transport.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the time limits of completions.
 *
 * @param timeout the longest time for a whole answer, not null
 * @param firstStall the longest wait for the first token of an attempt, not null
 * @param stall the longest wait for a later token, not null
 * @param closedStall the longest wait for a token of a replica that takes no new requests, not null
 */
public record StreamSettings(
    Duration timeout, Duration firstStall, Duration stall, Duration closedStall) {

  /** Checks the parts of the record. */
  public StreamSettings {
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(firstStall, "firstStall");
    Objects.requireNonNull(stall, "stall");
    Objects.requireNonNull(closedStall, "closedStall");
  }

  /**
   * Creates the settings of an entry with the usual waits for tokens.
   *
   * @param timeout the longest time that a request may run, not null
   * @return the settings, never null
   */
  public static StreamSettings of(Duration timeout) {
    return new StreamSettings(
        timeout, Duration.ofSeconds(30), Duration.ofSeconds(10), Duration.ofSeconds(2));
  }

  /**
   * Creates the settings of an entry whose requests may run for ten minutes.
   *
   * @return the settings, never null
   */
  public static StreamSettings ofDefaults() {
    return of(Duration.ofMinutes(10));
  }
}
