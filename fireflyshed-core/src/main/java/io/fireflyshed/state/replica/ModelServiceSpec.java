package io.fireflyshed.state.replica;

import java.util.Objects;

/**
 * States what an operator wants of a model service.
 *
 * @param name the service, which is also the model name that callers give, not null
 * @param model the model version that engines load, not null
 * @param instancesPerReplica the number of instances in each replica, 1 or more
 * @param replicas the wanted number of replicas in each availability zone, 0 or more
 */
public record ModelServiceSpec(
    ServiceName name, String model, int instancesPerReplica, int replicas) {

  /** Checks the parts of the record. */
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
