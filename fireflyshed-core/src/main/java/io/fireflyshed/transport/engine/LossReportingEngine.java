package io.fireflyshed.transport.engine;

import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import reactor.core.publisher.Flux;

/**
 * Delegates to another client and reports the head of a replica that was lost during a stream, so
 * that the replica takes no new requests even before its next probe. Thread safe.
 */
public final class LossReportingEngine implements ModelEngine {

  private final ModelEngine engine;
  private final Consumer<InstanceId> lossListener;

  /**
   * Creates a client.
   *
   * @param engine the client to delegate to, not null
   * @param lossListener receives the head of each replica that was lost during a stream, not null
   */
  public LossReportingEngine(ModelEngine engine, Consumer<InstanceId> lossListener) {
    this.engine = Objects.requireNonNull(engine, "engine");
    this.lossListener = Objects.requireNonNull(lossListener, "lossListener");
  }

  @Override
  public CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
    return engine.probe(instance);
  }

  @Override
  public CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
    return engine.readLoad(instance);
  }

  @Override
  public CompletableFuture<List<CacheChange>> readCacheChanges(
      InstanceRecord instance, long after) {
    return engine.readCacheChanges(instance, after);
  }

  @Override
  public CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
    return engine.order(instance, order);
  }

  @Override
  public Flux<StreamChunk> stream(EngineRequest request) {
    return engine.stream(request)
        .doOnError(
            TargetLostException.class,
            error -> lossListener.accept(request.replica().getHead().id()));
  }
}
