package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes a model that the replicas of a service may run.
 *
 * @param name the name of the model, not null
 * @param size the number of instances in a replica, at least 1
 * @param share the expected share of the work of the service, 0 to 1
 * @param slowdownFactor the factor on all processing times of a replica that runs the model,
 *     positive
 * @param load the time to load the weights from the shared store, not null
 * @param warmup the time to load the weights from host memory, not null
 */
public record ModelProfile(
    String name, int size, double share, double slowdownFactor, Duration load, Duration warmup) {

  /** Validates the components. */
  public ModelProfile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(load, "load");
    Objects.requireNonNull(warmup, "warmup");
    if (size < 1 || !(slowdownFactor > 0)) {
      throw new IllegalArgumentException(
          "model " + name + " needs a positive size and slowdown factor");
    }
  }
}
