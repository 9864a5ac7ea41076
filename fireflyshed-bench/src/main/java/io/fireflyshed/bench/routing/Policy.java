package io.fireflyshed.bench.routing;

import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;

/** Chooses replicas in a simulation on behalf of all entries. */
interface Policy {

  /** Chooses the index of the replica for a request. */
  int choose(SimulatedRequest request, long nowNanos);

  /** Takes in that a request received a token. */
  default void onToken(SimulatedRequest request, int replica, long nowNanos) {}

  /** Takes in that a request was answered. */
  default void onEnd(SimulatedRequest request, int replica) {}

  /** Takes in a load report that reached an entry. */
  default void onLoad(int entry, ReplicaId replica, int active, long measuredNanos) {}

  /** Takes in cache changes that reached an entry. */
  default void onChanges(int entry, ReplicaId replica, List<CacheChange> changes, long nowNanos) {}
}
