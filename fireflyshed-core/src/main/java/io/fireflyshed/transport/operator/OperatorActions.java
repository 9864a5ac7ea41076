package io.fireflyshed.transport.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.state.instance.InstanceId;
import java.util.concurrent.CompletableFuture;

/** Does what operators ask for. Implementations are thread safe. */
public interface OperatorActions {

  /**
   * Tells what this entry has in force.
   *
   * @return the answer, never null
   */
  JsonNode getConfiguration();

  /**
   * Tells the replicas that this entry may send requests to.
   *
   * @return the answer, never null
   */
  JsonNode getReplicas();

  /**
   * Drains an instance.
   *
   * @param operator who asks, not null
   * @param instance the instance, not null
   * @param reason why, for people, not null
   * @return a future of the outcome
   */
  CompletableFuture<CommitOutcome> drain(String operator, InstanceId instance, String reason);

  /**
   * Ends the drain of an instance.
   *
   * @param operator who asks, not null
   * @param instance the instance, not null
   * @return a future of the outcome
   */
  CompletableFuture<CommitOutcome> undrain(String operator, InstanceId instance);
}
