package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.traffic.ClientAccount;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides by the configuration whether a request may be served and where it goes. Thread safe.
 *
 * <p>Keys are accepted only while the configuration is known to be new enough: a key that was taken
 * away must stop in time at an entry that can't read the change.
 */
public final class RequestGate {

  /** The time to come back to an entry that has no current configuration. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /** The decision on a request. */
  public sealed interface Verdict {

    /**
     * The request may be served.
     *
     * @param route the route, not null
     * @param account the account, empty on public routes, not null
     * @param version the version of the configuration
     */
    record Allow(Route route, Optional<ClientAccount> account, long version) implements Verdict {}

    /**
     * The request is refused; it has not run.
     *
     * @param status the status
     * @param reason why, not null
     * @param retryAfter when to come back, empty if that would not help, not null
     */
    record Deny(int status, String reason, Optional<Duration> retryAfter) implements Verdict {}
  }

  private final Supplier<Optional<TrafficConfiguration>> configurations;
  private final Supplier<Duration> age;
  private final Duration maxKeyAge;

  /**
   * Creates a gate.
   *
   * @param configurations gets the newest configuration, not null
   * @param age gets the age of that knowledge, not null
   * @param maxKeyAge the age up to which keys are accepted, not null
   */
  public RequestGate(
      Supplier<Optional<TrafficConfiguration>> configurations,
      Supplier<Duration> age,
      Duration maxKeyAge) {
    this.configurations = Objects.requireNonNull(configurations, "configurations");
    this.age = Objects.requireNonNull(age, "age");
    this.maxKeyAge = Objects.requireNonNull(maxKeyAge, "maxKeyAge");
  }

  /**
   * Decides on a request.
   *
   * @param request the request, not null
   * @return the decision, never null
   */
  public Verdict decide(TrafficRequest request) {
    Optional<TrafficConfiguration> known = configurations.get();
    if (known.isEmpty()) {
      return newUnavailable("no configuration is known yet");
    }
    TrafficConfiguration configuration = known.get();
    Optional<Route> route = configuration.routes().find(request.host(), request.getPath());
    if (route.isEmpty()) {
      return new Verdict.Deny(NOT_FOUND, "no route matches", Optional.empty());
    }
    if (route.get().isPublic() || !configuration.needsKey()) {
      return new Verdict.Allow(route.get(), Optional.empty(), configuration.version());
    }
    if (age.get().compareTo(maxKeyAge) > 0) {
      return newUnavailable("the configuration is too old to accept keys");
    }
    Optional<ClientAccount> account = request.key().flatMap(configuration::findAccount);
    if (account.isEmpty()) {
      return new Verdict.Deny(UNAUTHORIZED, "no account holds the key", Optional.empty());
    }
    return new Verdict.Allow(route.get(), account, configuration.version());
  }

  private static Verdict newUnavailable(String reason) {
    return new Verdict.Deny(UNAVAILABLE, reason, Optional.of(RETRY_AFTER));
  }
}
