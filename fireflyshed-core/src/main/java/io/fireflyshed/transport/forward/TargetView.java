package io.fireflyshed.transport.forward;

import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.util.List;

/** Lists the targets that may currently receive requests. Implementations are thread safe. */
public interface TargetView {

  /**
   * Tests whether the list of targets was read at least once since the start of the process.
   *
   * @return true after the first successful read
   */
  boolean isRead();

  /**
   * Lists the targets of a service without model replicas, leaving targets excluded.
   *
   * @param service the service, not null
   * @return the targets, never null
   */
  List<Target> getTargets(ServiceName service);

  /**
   * Lists the heads of the serving replicas of a model, leaving targets excluded.
   *
   * @param service the service, not null
   * @param model the model, not null
   * @return the heads, never null
   */
  List<Target> getHeads(ServiceName service, String model);
}
