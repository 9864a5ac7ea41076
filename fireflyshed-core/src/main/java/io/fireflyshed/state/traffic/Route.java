package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Says where the requests of a host and path prefix go and how they may be treated.
 *
 * @param name the name of the route, not null
 * @param host the host that callers name, in lower case, not null
 * @param prefix the path prefix, which begins and ends with a slash, not null
 * @param kind what may be repeated, not null
 * @param timeout the longest time for which a caller is kept waiting, positive
 * @param latencyTarget the time within which an answer is on time, not null
 * @param priority the rank, 0 is the most urgent
 * @param services the services that share the requests, not empty
 * @param maxAttempts the most targets that may run one request, at least 1
 * @param isPublic whether requests need no key of a client account
 * @param isResumable whether a broken stream may go on at another target
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    Duration timeout,
    Duration latencyTarget,
    int priority,
    List<ServiceShare> services,
    int maxAttempts,
    boolean isPublic,
    boolean isResumable) {

  /** Checks the parts of the record. */
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(latencyTarget, "latencyTarget");
    services = List.copyOf(services);
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
    }
    if (services.isEmpty() || maxAttempts < 1 || timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException("route " + name + " needs services, attempts, a timeout");
    }
  }

  /**
   * Tests whether a request may run again after an attempt whose effect is not known.
   *
   * @return true if a second run does no harm
   */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && isResumable;
  }

  /**
   * Chooses the service of a request by the weights.
   *
   * @param sample a number from 0, inclusive, to 1, exclusive
   * @return the share, never null
   */
  public ServiceShare choose(double sample) {
    int total = services.stream().mapToInt(ServiceShare::weight).sum();
    double rest = sample * total;
    for (ServiceShare share : services) {
      rest -= share.weight();
      if (rest < 0) {
        return share;
      }
    }
    return services.get(services.size() - 1);
  }
}
