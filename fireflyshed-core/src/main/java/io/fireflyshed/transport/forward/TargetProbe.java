package io.fireflyshed.transport.forward;

import io.fireflyshed.state.target.Target;
import reactor.core.publisher.Mono;

/** Tests whether targets can be reached. Implementations are thread safe. */
public interface TargetProbe {

  /**
   * Attempts one connection to a target and closes it without sending anything.
   *
   * @param target the target, not null
   * @return completes once the target has accepted the connection; it fails with the cause if there
   *     is none in time
   */
  Mono<Void> connect(Target target);
}
