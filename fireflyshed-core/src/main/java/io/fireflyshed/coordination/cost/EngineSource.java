package io.fireflyshed.coordination.cost;

import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Finds the engines of pools in the newest configuration. Not thread safe. */
final class EngineSource {

  private final Supplier<Optional<TrafficConfiguration>> configurations;
  private final Map<String, EngineTimes> engines = new HashMap<>();
  private TrafficConfiguration known;

  /**
   * Creates a source.
   *
   * @param configurations gets the newest configuration, empty until one is known, not null
   */
  EngineSource(Supplier<Optional<TrafficConfiguration>> configurations) {
    this.configurations = configurations;
  }

  /** Returns the engine of a pool, empty for targets without a profile. */
  Optional<EngineTimes> get(String pool) {
    TrafficConfiguration newest = configurations.get().orElse(null);
    if (newest == null) {
      return Optional.empty();
    }
    if (newest != known) {
      engines.clear();
      known = newest;
    }
    EngineTimes found = engines.get(pool);
    if (found != null) {
      return Optional.of(found);
    }
    Optional<EngineTimes> engine = EngineTimes.find(newest, pool);
    engine.ifPresent(e -> engines.put(pool, e));
    return engine;
  }
}
