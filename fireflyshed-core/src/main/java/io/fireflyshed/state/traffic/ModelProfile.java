package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes a model that replicas of a service may run.
 *
 * @param name the name of the model, not null
 * @param size the number of instances of a replica, at least 1
 * @param share the expected part of the work, 0 to 1
 * @param pace the factor on all times of a replica, positive
 * @param load the time to load the weights from the shared store, not null
 * @param warmup the time to load the weights from the host's memory, not null
 */
public record ModelProfile(
    String name, int size, double share, double pace, Duration load, Duration warmup) {

  /** Checks the parts of the record. */
  public ModelProfile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(load, "load");
    Objects.requireNonNull(warmup, "warmup");
    if (size < 1 || !(pace > 0)) {
      throw new IllegalArgumentException("model " + name + " needs a size and a pace");
    }
  }
}
