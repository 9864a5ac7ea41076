package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.TurnRates;
import io.fireflyshed.state.target.Target;
import java.util.Objects;
import reactor.core.publisher.Mono;

/**
 * Asks only targets that take requests at any time. At a target that is used in turns a health
 * check would count as a request; the request that has the turn shows whether it responds. Thread
 * safe.
 */
public final class WarmHealthCheck implements HealthCheck {

  private final HealthCheck healthCheck;
  private final TurnRates rates;

  /**
   * Creates a health check.
   *
   * @param healthCheck asks targets, not null
   * @param rates knows the targets that are used in turns, not null
   */
  public WarmHealthCheck(HealthCheck healthCheck, TurnRates rates) {
    this.healthCheck = Objects.requireNonNull(healthCheck, "healthCheck");
    this.rates = Objects.requireNonNull(rates, "rates");
  }

  @Override
  public boolean isAvailable(Target target) {
    return healthCheck.isAvailable(target) && rates.get(target).isEmpty();
  }

  @Override
  public Mono<Void> check(Target target) {
    return Mono.defer(
        () ->
            rates.get(target).isEmpty()
                ? healthCheck.check(target)
                : Mono.error(
                    new IllegalStateException(
                        "health check: target " + target.id().value() + " became cold")));
  }
}
