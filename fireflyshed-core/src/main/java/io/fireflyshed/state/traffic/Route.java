package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Maps the requests of a host and path prefix to services and states how they are handled.
 *
 * @param name the name of the route, not null
 * @param host the value of the Host header without a port, in lower case, not null
 * @param prefix the path prefix, which starts and ends with a slash, not null
 * @param kind states whether requests may be retried, not null
 * @param timeout the maximum time that a request may take, positive, not null
 * @param latencyTarget the time within which a response should be complete, not null
 * @param priority the priority, 0 for the highest
 * @param services the services among which the requests are split, copied, not null or empty
 * @param maxAttempts the maximum number of targets that may run the same request, at least 1
 * @param isPublic whether requests need no API key of a client account
 * @param isResumable whether a broken stream may be resumed at another target
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    Duration timeout,
    Duration latencyTarget,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean isPublic,
    boolean isResumable) {

  /** The multiple of the latency target after which a response that isn't a stream is late. */
  private static final int LATENCY_TARGETS_UNTIL_LATE = 3;

  /** Validates the components. */
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(latencyTarget, "latencyTarget");
    services = List.copyOf(services);
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("prefix must start and end with a slash: " + prefix);
    }
    if (services.isEmpty() || maxAttempts < 1 || timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException(
          "route " + name + " needs a service and positive values of maxAttempts and timeout");
    }
  }

  /**
   * Tests whether a request may be retried after an attempt that may have run.
   *
   * @return true if running the request again is harmless
   */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && isResumable;
  }

  /**
   * Returns the time after which a response that isn't a stream is so late that another target is
   * looked for.
   *
   * @return a multiple of the latency target, never null
   */
  public Duration getLateness() {
    return latencyTarget.multipliedBy(LATENCY_TARGETS_UNTIL_LATE);
  }

  /**
   * Selects the service of a request in proportion to the weights.
   *
   * @param sample a random number from 0, inclusive, to 1, exclusive
   * @return the selected service, never null
   */
  public WeightedService selectService(double sample) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    double remaining = sample * total;
    for (WeightedService service : services) {
      remaining -= service.weight();
      if (remaining < 0) {
        return service;
      }
    }
    return services.get(services.size() - 1);
  }
}
