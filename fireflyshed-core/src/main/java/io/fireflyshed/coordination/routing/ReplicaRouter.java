package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.util.Optional;

/** Chooses the replica that runs a request. Implementations are thread safe. */
public interface ReplicaRouter {

  /**
   * Chooses a replica that is open.
   *
   * @param view the published view, not null
   * @param request the request, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the choice, or empty if no replica is open
   */
  Optional<OpenReplica> choose(ServingView view, RouteRequest request, long nowNanos);

  /**
   * Takes in that an attempt starts on a replica.
   *
   * @param replica the replica, not null
   * @param request the request, not null
   */
  void onStart(ReplicaId replica, RouteRequest request);

  /**
   * Takes in that an attempt received tokens; routers that judge speed use it.
   *
   * @param replica the replica, not null
   * @param request the request, the same object as at the start, not null
   * @param tokens the number of tokens that came together, positive
   * @param nowNanos the reading of the monotonic clock
   */
  default void onTokens(ReplicaId replica, RouteRequest request, int tokens, long nowNanos) {}

  /**
   * Takes in that an attempt on a replica ended in any way.
   *
   * @param replica the replica, not null
   * @param request the request, not null
   */
  void onEnd(ReplicaId replica, RouteRequest request);
}
