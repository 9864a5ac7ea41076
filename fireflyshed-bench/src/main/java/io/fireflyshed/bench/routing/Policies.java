package io.fireflyshed.bench.routing;

import io.fireflyshed.coordination.routing.AffinityRouter;
import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.coordination.routing.LeastInFlightRouter;
import io.fireflyshed.coordination.routing.ReplicaRouter;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** The policies that are compared. */
final class Policies {

  private Policies() {}

  /** Takes replicas in turn, each entry from a start of its own. */
  static Policy newRoundRobin(int entries, int replicas, UniformRandomProvider rng) {
    int[] next = new int[entries];
    for (int i = 0; i < entries; i++) {
      next[i] = rng.nextInt(replicas);
    }
    return (request, now) -> next[request.entry()]++ % replicas;
  }

  /** Takes the replica whose true state promises the first token soonest. */
  static Policy newOracle(List<EngineModel> engines) {
    return (request, now) -> {
      int best = 0;
      double bestNanos = Double.POSITIVE_INFINITY;
      for (int i = 0; i < engines.size(); i++) {
        double nanos = engines.get(i).getExpectedNanos(request.blocks(), request.tokens());
        if (nanos < bestNanos) {
          best = i;
          bestNanos = nanos;
        }
      }
      return best;
    };
  }

  /** Gives each entry a router with the fewest own requests in flight. */
  static Policy newLeastInFlight(int entries, List<ReplicaId> ids, List<ServingView> views) {
    ReplicaRouter[] routers = new ReplicaRouter[entries];
    for (int i = 0; i < entries; i++) {
      routers[i] = new LeastInFlightRouter();
    }
    return new RouterPolicy(routers, ids, views);
  }

  /** Gives each entry a router. */
  static class RouterPolicy implements Policy {

    private final ReplicaRouter[] routers;
    private final List<ReplicaId> ids;
    private final List<ServingView> views;
    private long chooseNanos;
    private long choices;

    RouterPolicy(ReplicaRouter[] routers, List<ReplicaId> ids, List<ServingView> views) {
      this.routers = routers;
      this.ids = ids;
      this.views = views;
    }

    /** Gets the mean time of a choice and a start, in microseconds. */
    double getChooseMicros() {
      return chooseNanos / 1e3 / choices;
    }

    @Override
    public int choose(SimulatedRequest request, long nowNanos) {
      ReplicaRouter router = routers[request.entry()];
      final long start = System.nanoTime();
      OpenReplica replica =
          router.choose(views.get(request.entry()), request.route(), nowNanos).orElseThrow();
      router.onStart(replica.assignment().id(), request.route());
      chooseNanos += System.nanoTime() - start;
      choices++;
      return ids.indexOf(replica.assignment().id());
    }

    @Override
    public void onToken(SimulatedRequest request, int replica, long nowNanos) {
      routers[request.entry()].onTokens(ids.get(replica), request.route(), 1, nowNanos);
    }

    @Override
    public void onEnd(SimulatedRequest request, int replica) {
      routers[request.entry()].onEnd(ids.get(replica), request.route());
    }

    @Override
    public void onLoad(int entry, ReplicaId replica, int active, long measuredNanos) {
      if (routers[entry] instanceof AffinityRouter router) {
        router.onLoad(replica, active, measuredNanos);
      }
    }

    @Override
    public void onChanges(int entry, ReplicaId replica, List<CacheChange> changes, long nowNanos) {
      if (routers[entry] instanceof AffinityRouter router) {
        router.onCacheChanges(replica, changes, nowNanos);
      }
    }
  }
}
