package io.fireflyshed.protocol.engine;

import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Flux;

/** A client of the model engines. Implementations are thread safe. */
public interface ModelEngine {

  /**
   * Requests the health of an engine.
   *
   * @param instance the instance, not null
   * @return a future of the health; it fails if no response arrives in time
   */
  CompletableFuture<MemberHealth> probe(InstanceRecord instance);

  /**
   * Requests the load of an engine.
   *
   * @param instance the instance, not null
   * @return a future of the report; it fails if no response arrives in time
   */
  CompletableFuture<LoadReport> readLoad(InstanceRecord instance);

  /**
   * Requests the changes to the prefix cache of an engine.
   *
   * @param instance the instance, not null
   * @param after the sequence number after which to return changes, 0 for all
   * @return a future of the changes, which may have gaps and are empty if the engine publishes
   *     none; it fails if no response arrives in time
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
   * @return the events in the order of their offsets, with the end marker in the last chunk;
   *     cancelling the subscription cancels the attempt. The stream fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  Flux<StreamChunk> stream(EngineRequest request);
}
