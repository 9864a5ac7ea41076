package io.fireflyshed.transport.forward;

import io.fireflyshed.state.replica.ServiceName;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts the requests, attempts and retries at each service. Thread safe. */
final class ForwardMetrics {

  private final MeterRegistry registry;
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();

  ForwardMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  void recordRequest(ServiceName service) {
    getCounter("fireflyshed.forward.requests", Tags.of("service", service.value())).increment();
  }

  void recordRelay(ServiceName service, String reason) {
    getCounter("fireflyshed.forward.relays", Tags.of("service", service.value(), "reason", reason))
        .increment();
  }

  /** Records that an entry that accepted a request did not run it. */
  void recordRelayNotRun(ServiceName service, RetryVerdict verdict) {
    getCounter(
            "fireflyshed.forward.relays.not.run",
            Tags.of("service", service.value(), "retry", getLabel(verdict)))
        .increment();
  }

  void recordRelayedRequest(ServiceName service) {
    getCounter("fireflyshed.forward.relayed.requests", Tags.of("service", service.value()))
        .increment();
  }

  void recordAttempt(ServiceName service) {
    getCounter("fireflyshed.forward.attempts", Tags.of("service", service.value())).increment();
  }

  void recordFailure(ServiceName service, RetryVerdict verdict) {
    getCounter(
            "fireflyshed.forward.failures",
            Tags.of("service", service.value(), "retry", getLabel(verdict)))
        .increment();
  }

  /**
   * Records that one of two open attempts ended because the other one went on.
   *
   * @param isSilent whether the silent attempt ended, rather than its successor
   */
  void recordSuperseded(ServiceName service, boolean isSilent) {
    getCounter(
            "fireflyshed.forward.superseded",
            Tags.of("service", service.value(), "attempt", isSilent ? "silent" : "successor"))
        .increment();
  }

  private static String getLabel(RetryVerdict verdict) {
    return verdict.name().toLowerCase(Locale.ROOT);
  }

  private Counter getCounter(String name, Tags tags) {
    return counters.computeIfAbsent(
        name + tags, key -> Counter.builder(name).tags(tags).register(registry));
  }
}
