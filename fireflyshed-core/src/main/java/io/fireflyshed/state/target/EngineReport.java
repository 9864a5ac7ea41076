package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.FabricDomain;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Holds what an engine says of itself when asked.
 *
 * @param startMillis the wall time of its start, which tells its lifetimes apart
 * @param orderSequence the number of orders that it began since its start
 * @param isBusy whether an order is in progress
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param kvUsedTokens the tokens in memory that can't be given up
 * @param slowness the factor on its times, above 1 if it is slow
 * @param domain its fabric domain, not null
 * @param stagedModels the models in the memory of its host, not null
 * @param membership its replica, empty if it belongs to none, not null
 */
public record EngineReport(
    long startMillis,
    long orderSequence,
    boolean isBusy,
    int running,
    int waiting,
    long kvUsedTokens,
    double slowness,
    FabricDomain domain,
    Set<String> stagedModels,
    Optional<Membership> membership) {

  /** Checks the parts of the record. */
  public EngineReport {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(membership, "membership");
    stagedModels = Set.copyOf(stagedModels);
  }
}
