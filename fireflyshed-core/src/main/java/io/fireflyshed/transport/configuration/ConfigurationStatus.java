package io.fireflyshed.transport.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tells which version a process has in force and until when that is known to be fresh.
 *
 * @param inForce the version, or empty if there is none, not null
 * @param sinceNanos the reading of the monotonic clock when it came into force
 * @param leaseEndNanos the reading at which the lease ends, or empty if there is none, not null
 */
public record ConfigurationStatus(
    Optional<ConfigurationRecord> inForce, long sinceNanos, OptionalLong leaseEndNanos) {

  /** Checks the parts of the record. */
  public ConfigurationStatus {
    Objects.requireNonNull(inForce, "inForce");
    Objects.requireNonNull(leaseEndNanos, "leaseEndNanos");
  }

  /**
   * Creates the status of a process that knows nothing.
   *
   * @return the status, never null
   */
  public static ConfigurationStatus ofNothing() {
    return new ConfigurationStatus(Optional.empty(), 0, OptionalLong.empty());
  }

  /**
   * Tests whether the lease holds.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return false if the process may be behind
   */
  public boolean isCurrent(long nowNanos) {
    return leaseEndNanos.isPresent() && leaseEndNanos.getAsLong() - nowNanos > 0;
  }

  /**
   * Tests whether no configuration was ever applied, as far as a fresh read tells.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return true if the lease holds and nothing is in force
   */
  public boolean isUnconfigured(long nowNanos) {
    return inForce.isEmpty() && isCurrent(nowNanos);
  }
}
