package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ModelServiceSpec;
import java.util.List;
import java.util.Objects;

/**
 * The state of one availability zone as its coordinator knows it. Immutable.
 *
 * @param zone the availability zone, not null
 * @param services the model services that the zone is to run, copied, not null
 * @param instances the engine instances of the zone, without duplicates, copied, not null
 * @param assignments the replicas of the zone, including dissolved ones, copied, not null
 * @param nowNanos the current monotonic clock reading of this process, in nanoseconds
 */
public record ClusterState(
    AvailabilityZone zone,
    List<ModelServiceSpec> services,
    List<InstanceState> instances,
    List<AssignmentState> assignments,
    long nowNanos) {

  /** Validates the components and copies the lists. */
  public ClusterState {
    Objects.requireNonNull(zone, "zone");
    services = List.copyOf(services);
    instances = List.copyOf(instances);
    assignments = List.copyOf(assignments);
  }
}
