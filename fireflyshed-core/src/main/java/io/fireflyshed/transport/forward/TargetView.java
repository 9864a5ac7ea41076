package io.fireflyshed.transport.forward;

import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.util.List;

/** Lists the targets that may get requests now. Implementations are thread safe. */
public interface TargetView {

  /**
   * Tests whether the targets are known at all, which they aren't yet just after a start.
   *
   * @return true after the first reading
   */
  boolean isRead();

  /**
   * Lists the targets of a plain service that don't leave.
   *
   * @param service the service, not null
   * @return the targets, never null
   */
  List<Target> getTargets(ServiceName service);

  /**
   * Lists the heads of the replicas of a model that serve.
   *
   * @param service the service, not null
   * @param model the model, not null
   * @return the heads, never null
   */
  List<Target> getHeads(ServiceName service, String model);
}
