package io.fireflyshed.bench.drain;

import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Flux;

/** Hides what engines say of leaving, as the baseline that trusts the list only. Thread safe. */
final class ListOnlyEngine implements ModelEngine {

  private final ModelEngine engine;

  ListOnlyEngine(ModelEngine engine) {
    this.engine = engine;
  }

  @Override
  public CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
    return engine.probe(instance).thenApply(ListOnlyEngine::hideLeaving);
  }

  @Override
  public CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
    return engine.readLoad(instance);
  }

  @Override
  public CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
    return engine.order(instance, order);
  }

  @Override
  public Flux<StreamChunk> stream(EngineRequest request) {
    return engine.stream(request);
  }

  private static MemberHealth hideLeaving(MemberHealth health) {
    return new MemberHealth(
        health.instance(),
        health.boot(),
        health.replica(),
        health.generation(),
        health.isReady(),
        false);
  }
}
