package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the open replica with the fewest attempts of this process in flight. Thread safe. */
public final class LeastInFlightRouter implements ReplicaRouter {

  private final ConcurrentMap<ReplicaId, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  @Override
  public Optional<OpenReplica> choose(ServingView view, RouteRequest request, long nowNanos) {
    return view.getOpen(request.service()).stream()
        .filter(r -> r.isOpen(nowNanos))
        .filter(r -> !request.excluded().contains(r.assignment().id()))
        .min(Comparator.comparingInt(r -> getInFlight(r.assignment().id())));
  }

  @Override
  public void onStart(ReplicaId replica, RouteRequest request) {
    inFlight.computeIfAbsent(replica, r -> new AtomicInteger()).incrementAndGet();
  }

  @Override
  public void onEnd(ReplicaId replica, RouteRequest request) {
    inFlight.computeIfPresent(replica, (r, n) -> n.decrementAndGet() <= 0 ? null : n);
  }

  private int getInFlight(ReplicaId replica) {
    AtomicInteger count = inFlight.get(replica);
    return count == null ? 0 : count.get();
  }
}
