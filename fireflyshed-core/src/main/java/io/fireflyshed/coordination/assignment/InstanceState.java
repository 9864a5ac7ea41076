package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceRecord;
import java.util.Objects;

/**
 * Holds what the coordinator knows of one instance. Immutable.
 *
 * @param instance the instance, not null
 * @param status its status, not null
 * @param sinceNanos the reading of the monotonic clock at which the status began
 * @param isAssigned whether a replica holds the instance, one that dissolves included
 */
public record InstanceState(
    InstanceRecord instance, InstanceStatus status, long sinceNanos, boolean isAssigned) {

  /** Checks the parts of the record. */
  public InstanceState {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(status, "status");
  }

  /**
   * Tests whether a new replica may take the instance.
   *
   * @return true if it is healthy and no replica holds it
   */
  public boolean isFree() {
    return status == InstanceStatus.HEALTHY && !isAssigned;
  }
}
