package io.fireflyshed.transport.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The configuration version that a process has in force, and the time until which the process knows
 * that it is not behind.
 *
 * @param inForce the version in force, or empty if there is none, not null
 * @param sinceNanos the reading of the monotonic clock, in nanoseconds, when the version was put in
 *     force
 * @param leaseEndNanos the reading of the monotonic clock at which the lease ends, or empty if the
 *     process never had a lease, not null
 */
public record ConfigurationStatus(
    Optional<ConfigurationRecord> inForce, long sinceNanos, OptionalLong leaseEndNanos) {

  /** Validates the components. */
  public ConfigurationStatus {
    Objects.requireNonNull(inForce, "inForce");
    Objects.requireNonNull(leaseEndNanos, "leaseEndNanos");
  }

  /**
   * Returns the status of a process without a version in force and without a lease.
   *
   * @return the status, never null
   */
  public static ConfigurationStatus ofNothing() {
    return new ConfigurationStatus(Optional.empty(), 0, OptionalLong.empty());
  }

  /**
   * Tests whether the lease is valid.
   *
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return false if the process may be behind
   */
  public boolean isCurrent(long nowNanos) {
    return leaseEndNanos.isPresent() && leaseEndNanos.getAsLong() - nowNanos > 0;
  }

  /**
   * Tests whether it is known that no configuration was ever applied.
   *
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return true if the lease is valid and no version is in force
   */
  public boolean isUnconfigured(long nowNanos) {
    return inForce.isEmpty() && isCurrent(nowNanos);
  }
}
