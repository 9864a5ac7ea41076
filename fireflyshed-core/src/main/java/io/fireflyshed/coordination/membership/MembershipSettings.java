package io.fireflyshed.coordination.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of {@link SwimMembership}.
 *
 * @param tick the time between two ticks, not null
 * @param ackTimeout how long a probe waits before others are asked to probe, not null
 * @param probeTimeout how long a probe waits in all, not null
 * @param suspicionTimeout how long a suspected process may object, not null
 * @param deadRetention how long dead processes are remembered and probed now and then, not null
 * @param syncInterval the time between two comparisons of whole lists, not null
 */
public record MembershipSettings(
    Duration tick,
    Duration ackTimeout,
    Duration probeTimeout,
    Duration suspicionTimeout,
    Duration deadRetention,
    Duration syncInterval) {

  /** Checks the parts of the record. */
  public MembershipSettings {
    Objects.requireNonNull(tick, "tick");
    Objects.requireNonNull(ackTimeout, "ackTimeout");
    Objects.requireNonNull(probeTimeout, "probeTimeout");
    Objects.requireNonNull(suspicionTimeout, "suspicionTimeout");
    Objects.requireNonNull(deadRetention, "deadRetention");
    Objects.requireNonNull(syncInterval, "syncInterval");
  }

  /**
   * Creates the settings that find a dead process within about ten seconds.
   *
   * @return the settings, never null
   */
  public static MembershipSettings ofDefaults() {
    return new MembershipSettings(
        Duration.ofMillis(500),
        Duration.ofMillis(500),
        Duration.ofMillis(1_500),
        Duration.ofSeconds(6),
        Duration.ofMinutes(30),
        Duration.ofSeconds(60));
  }
}
