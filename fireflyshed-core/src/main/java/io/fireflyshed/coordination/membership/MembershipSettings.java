package io.fireflyshed.coordination.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Configures a {@link SwimMembership}.
 *
 * @param tick the interval at which {@link SwimMembership#onTick} is called, not null
 * @param ackTimeout the time without an answer after which other processes are asked to ping, not
 *     null
 * @param probeTimeout the time without an answer after which a probe has failed, not null
 * @param suspicionTimeout the time in which a suspected process may refute the suspicion, not null
 * @param deadRetention how long the records of dead processes are kept and the processes are still
 *     probed occasionally, not null
 * @param syncInterval the time between two comparisons of member lists with a peer, not null
 */
public record MembershipSettings(
    Duration tick,
    Duration ackTimeout,
    Duration probeTimeout,
    Duration suspicionTimeout,
    Duration deadRetention,
    Duration syncInterval) {

  /** Validates the components. */
  public MembershipSettings {
    Objects.requireNonNull(tick, "tick");
    Objects.requireNonNull(ackTimeout, "ackTimeout");
    Objects.requireNonNull(probeTimeout, "probeTimeout");
    Objects.requireNonNull(suspicionTimeout, "suspicionTimeout");
    Objects.requireNonNull(deadRetention, "deadRetention");
    Objects.requireNonNull(syncInterval, "syncInterval");
  }

  /**
   * Creates settings with which a dead process is detected within about ten seconds.
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
