package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceRecord;
import java.util.Objects;

/**
 * What the coordinator knows about one instance. Immutable.
 *
 * @param instance the instance, not null
 * @param status the status of the instance, not null
 * @param sinceNanos the monotonic clock reading, in nanoseconds, since which the probes have shown
 *     the present health
 * @param isAssigned whether a replica holds the instance, including a dissolving one
 */
public record InstanceState(
    InstanceRecord instance, InstanceStatus status, long sinceNanos, boolean isAssigned) {

  /** Validates the components. */
  public InstanceState {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(status, "status");
  }

  /**
   * Tests whether a new replica may take the instance.
   *
   * @return true if the instance is healthy and no replica holds it
   */
  public boolean isFree() {
    return status == InstanceStatus.HEALTHY && !isAssigned;
  }
}
