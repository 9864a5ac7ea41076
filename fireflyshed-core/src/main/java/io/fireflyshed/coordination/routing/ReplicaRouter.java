package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.util.Optional;

/** Chooses the replica that runs a request. Implementations are thread safe. */
public interface ReplicaRouter {

  /**
   * Chooses an open replica for a request.
   *
   * @param view the current view of the open replicas, not null
   * @param request the request, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return the chosen replica, or empty if no replica that may be chosen is open
   */
  Optional<OpenReplica> choose(ServingView view, RouteRequest request, long nowNanos);

  /**
   * Records the start of an attempt on a replica.
   *
   * @param replica the replica, not null
   * @param request the request, not null
   */
  void onStart(ReplicaId replica, RouteRequest request);

  /**
   * Records that an attempt received tokens. The default implementation does nothing; routers that
   * measure the speed of replicas override it.
   *
   * @param replica the replica, not null
   * @param request the request, the same object as at the start, not null
   * @param tokens the number of tokens received at once, positive
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  default void onTokens(ReplicaId replica, RouteRequest request, int tokens, long nowNanos) {}

  /**
   * Records the end of an attempt on a replica, whether it succeeded, failed or was cancelled.
   *
   * @param replica the replica, not null
   * @param request the request, the same object as at the start, not null
   */
  void onEnd(ReplicaId replica, RouteRequest request);
}
