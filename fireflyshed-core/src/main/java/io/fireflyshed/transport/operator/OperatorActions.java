package io.fireflyshed.transport.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.state.instance.InstanceId;
import java.util.concurrent.CompletableFuture;

/** The operations that operators may request of an entry. Implementations are thread safe. */
public interface OperatorActions {

  /**
   * Returns the status of the configuration that this entry has in force.
   *
   * @return the body of the response, never null
   */
  JsonNode getConfiguration();

  /**
   * Returns the replicas to which this entry may send requests.
   *
   * @return the body of the response, never null
   */
  JsonNode getReplicas();

  /**
   * Drains an instance.
   *
   * @param operator the name of the operator, not null
   * @param instance the instance, not null
   * @param reason the human-readable reason, not null
   * @return a future of the outcome of the configuration change
   */
  CompletableFuture<CommitOutcome> drain(String operator, InstanceId instance, String reason);

  /**
   * Ends the drain of an instance.
   *
   * @param operator the name of the operator, not null
   * @param instance the instance, not null
   * @return a future of the outcome of the configuration change
   */
  CompletableFuture<CommitOutcome> undrain(String operator, InstanceId instance);
}
