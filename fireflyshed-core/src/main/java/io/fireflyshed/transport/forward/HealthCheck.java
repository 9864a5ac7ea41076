package io.fireflyshed.transport.forward;

import io.fireflyshed.state.target.Target;
import reactor.core.publisher.Mono;

/**
 * Asks targets for their health, which shows that they respond. Implementations are thread safe.
 */
public interface HealthCheck {

  /**
   * Tests whether a target can be asked.
   *
   * @param target the target, not null
   * @return false if its service states no health check
   */
  boolean isAvailable(Target target);

  /**
   * Asks a target once.
   *
   * @param target the target, not null
   * @return completes once the target responded, whatever it says; it fails with the cause if the
   *     connection ended, or without a response in time
   */
  Mono<Void> check(Target target);
}
