package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.FabricDomain;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the state that an engine reports about itself.
 *
 * @param startMillis the wall clock time of its start in milliseconds, which identifies the
 *     incarnation
 * @param orderSequence the number of orders that it has started since its start
 * @param isBusy whether an order is in progress
 * @param runningRequests the number of running requests
 * @param waitingRequests the number of queued requests
 * @param kvUsedTokens the number of tokens in the KV cache that can't be evicted
 * @param slowdownFactor the factor on its processing times, above 1 if the engine is slow
 * @param domain its fabric domain, not null
 * @param stagedModels the models whose weights are in host memory, copied, not null
 * @param membership its membership in a replica, empty if it has none, not null
 */
public record EngineReport(
    long startMillis,
    long orderSequence,
    boolean isBusy,
    int runningRequests,
    int waitingRequests,
    long kvUsedTokens,
    double slowdownFactor,
    FabricDomain domain,
    Set<String> stagedModels,
    Optional<Membership> membership) {

  /** Validates the components. */
  public EngineReport {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(membership, "membership");
    stagedModels = Set.copyOf(stagedModels);
  }
}
