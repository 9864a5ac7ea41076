package io.fireflyshed.state.replica;

import java.util.Objects;

/**
 * The specification of a model service.
 *
 * @param name the name of the service, which callers give as the model name, not null
 * @param model the model version that the engines load, not null
 * @param instancesPerReplica the number of instances in each replica, 1 or more
 * @param replicas the number of replicas to run in each availability zone, 0 or more
 */
public record ModelServiceSpec(
    ServiceName name, String model, int instancesPerReplica, int replicas) {

  /** Validates the components. */
  public ModelServiceSpec {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(model, "model");
    if (instancesPerReplica < 1) {
      throw new IllegalArgumentException(
          "instancesPerReplica must be positive: " + instancesPerReplica);
    }
    if (replicas < 0) {
      throw new IllegalArgumentException("replicas must not be negative: " + replicas);
    }
  }
}
