package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.entry.ShutdownSignal;
import java.util.List;

/** Holds what the attempts of all requests of an entry share. */
record ForwardContext(
    TargetView targetView,
    TargetPlacer placer,
    StallWatch stallWatch,
    TargetClient client,
    TargetValidator validator,
    ServiceRetryBudgets retryBudgets,
    CrashGuard crashGuard,
    MonotonicClock clock,
    ForwardMetrics metrics,
    Reachability reachability,
    RequestRelay relay,
    ByteBudget budget,
    StopSignal stop,
    ShutdownSignal shutdown) {

  /** Lists the targets of a service, or those of a model if the request is a generation. */
  List<Target> getCandidates(ServiceName service, String pool, boolean isGeneration) {
    return isGeneration ? targetView.getHeads(service, pool) : targetView.getTargets(service);
  }
}
