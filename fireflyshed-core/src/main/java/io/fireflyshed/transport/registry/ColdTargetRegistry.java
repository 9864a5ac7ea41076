package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.warmup.ColdTargets;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.target.TargetRegistry;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Passes what a registry says of cold targets to those who keep it. Thread safe. */
public final class ColdTargetRegistry implements TargetRegistry {

  /** The targets that a log line names; it counts more of them. */
  private static final int MAX_NAMED_TARGETS = 8;

  private final TargetRegistry registry;
  private final ColdTargets cold;
  private final EventLog log = new EventLog("targets");
  private Set<InstanceId> logged = Set.of();

  /**
   * Creates a registry.
   *
   * @param registry the registry that is read, not null
   * @param cold keeps the cold targets, not null
   * @param metrics registers the numbers of cold targets and of turns used at them, not null
   */
  public ColdTargetRegistry(TargetRegistry registry, ColdTargets cold, MeterRegistry metrics) {
    this.registry = Objects.requireNonNull(registry, "registry");
    this.cold = Objects.requireNonNull(cold, "cold");
    metrics.gauge("fireflyshed.cold.targets", cold, c -> c.getStated().size());
    FunctionCounter.builder("fireflyshed.cold.turns", cold, ColdTargets::getTurns)
        .register(metrics);
  }

  @Override
  public CompletableFuture<TargetChanges> readAll() {
    return registry.readAll().thenApply(this::apply);
  }

  @Override
  public CompletableFuture<TargetChanges> readChanges(long version) {
    return registry.readChanges(version).thenApply(this::apply);
  }

  private synchronized TargetChanges apply(TargetChanges changes) {
    cold.apply(changes);
    Set<InstanceId> stated = cold.getStated();
    if (!stated.equals(logged)) {
      log.info(
          "cold targets changed",
          "cold",
          stated.size() > MAX_NAMED_TARGETS ? stated.size() : stated,
          "before",
          logged.size(),
          "turns",
          cold.getTurns());
      logged = stated;
    }
    return changes;
  }
}
