package io.fireflyshed.protocol.engine;

import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Flux;

/** Talks to model engines. Implementations are thread safe. */
public interface ModelEngine {

  /**
   * Asks an engine for its health.
   *
   * @param instance the instance, not null
   * @return a future of the answer; it fails if none comes in time
   */
  CompletableFuture<MemberHealth> probe(InstanceRecord instance);

  /**
   * Asks an engine for its load.
   *
   * @param instance the instance, not null
   * @return a future of the report; it fails if none comes in time
   */
  CompletableFuture<LoadReport> readLoad(InstanceRecord instance);

  /**
   * Asks an engine for the changes of its prefix cache.
   *
   * @param instance the instance, not null
   * @param after the sequence number after which changes are wanted, 0 for all
   * @return a future of the changes, which may have gaps; it fails if no answer comes in time.
   *     Engines that publish none answer with an empty list
   */
  default CompletableFuture<List<CacheChange>> readCacheChanges(
      InstanceRecord instance, long after) {
    return CompletableFuture.completedFuture(List.of());
  }

  /**
   * Sends an order to an engine.
   *
   * @param instance the instance, not null
   * @param order the order, not null
   * @return a future that completes when the engine has accepted the order; it fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order);

  /**
   * Runs one attempt of a completion.
   *
   * @param request the attempt, not null
   * @return the events in the order of their offsets; the last chunk has the end event; cancelling
   *     the subscription cancels the attempt. It fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  Flux<StreamChunk> stream(EngineRequest request);
}
