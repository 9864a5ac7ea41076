package io.fireflyshed.transport.forward;

import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.util.List;

/** Lists the targets that may get requests now. Implementations are thread safe. */
public interface TargetView {

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
