package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ModelServiceSpec;
import java.util.List;
import java.util.Objects;

/**
 * Holds one availability zone as its coordinator knows it. Immutable.
 *
 * @param zone the availability zone, not null
 * @param services the wanted model services, copied, not null
 * @param instances the engine instances of the zone, each once, copied, not null
 * @param assignments the replicas of the zone, with those that are dissolved, copied, not null
 * @param nowNanos the reading of the monotonic clock of this process
 */
public record ClusterState(
    AvailabilityZone zone,
    List<ModelServiceSpec> services,
    List<InstanceState> instances,
    List<AssignmentState> assignments,
    long nowNanos) {

  /** Checks the parts and copies the lists. */
  public ClusterState {
    Objects.requireNonNull(zone, "zone");
    services = List.copyOf(services);
    instances = List.copyOf(instances);
    assignments = List.copyOf(assignments);
  }
}
