package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.traffic.PromptDescriptor;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.transport.http.HeldBody;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/**
 * Holds an authorized request together with its route and the service that was selected for it.
 *
 * @param request the caller's request without its body, not null
 * @param body the complete body, empty for none; it stays valid until the request ends, not null
 * @param route the matching route, not null
 * @param service the service that was selected among those of the route, not null
 * @param account the name of the client account, empty on public routes, not null
 * @param rank how urgent the request is, not null
 * @param configurationVersion the version of the traffic configuration that was applied, for the
 *     log
 * @param arrivalNanos the arrival time as a reading of the monotonic clock
 * @param timeout the time from the arrival after which the request fails, not null
 * @param caller tells before each attempt whether the caller has left, not null
 */
public record RoutedRequest(
    TrafficRequest request,
    HeldBody body,
    Route route,
    ServiceName service,
    Optional<String> account,
    Rank rank,
    long configurationVersion,
    long arrivalNanos,
    Duration timeout,
    CallerLink caller) {

  /** Validates the components. */
  public RoutedRequest {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(rank, "rank");
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(caller, "caller");
  }

  /**
   * Gets the name of the pool of interchangeable targets that can run this request.
   *
   * @return the model of a generation request, otherwise the service, never null
   */
  public String getPool() {
    return request.prompt().map(p -> p.model()).orElse(service.value());
  }

  /**
   * Describes this request for its placement.
   *
   * @return the description, never null
   */
  public RequestDescriptor describe() {
    Optional<PromptDescriptor> prompt = request.prompt();
    return new RequestDescriptor(
        route.name(),
        getPool(),
        prompt.isPresent(),
        rank,
        account,
        prompt.map(PromptDescriptor::promptTokens).orElse(0),
        prompt.map(PromptDescriptor::estimatedAnswerTokens).orElse(OptionalInt.empty()),
        prompt.map(PromptDescriptor::maxAnswerTokens).orElse(0),
        body.getLength(),
        route.latencyTarget());
  }

  /**
   * Computes the fingerprints that this request shares with its copies and with other requests,
   * whichever entry they reach.
   *
   * @return the fingerprints, never null
   */
  public RequestFingerprints getFingerprints() {
    List<String> partIds = request.prompt().map(PromptDescriptor::sharedParts).orElse(List.of());
    return new RequestFingerprints(
        CrashFingerprint.ofRequest(service, account, request.host() + request.uri(), body::addTo),
        partIds.stream()
            .map(id -> CrashFingerprint.ofPart(service, id))
            .collect(Collectors.toSet()),
        getPool());
  }

  /**
   * Returns this request with another arrival and timeout, as when another entry forwards it.
   *
   * @param nanos the arrival time as a reading of the monotonic clock of this process
   * @param newTimeout the time from the arrival after which the request fails, not null
   * @return the request, never null
   */
  RoutedRequest withTimeout(long nanos, Duration newTimeout) {
    return new RoutedRequest(
        request,
        body,
        route,
        service,
        account,
        rank,
        configurationVersion,
        nanos,
        newTimeout,
        caller);
  }

  /**
   * Returns this request with another rank.
   *
   * @param newRank how urgent the request is for its targets, not null
   * @return the request, never null
   */
  RoutedRequest withRank(Rank newRank) {
    return new RoutedRequest(
        request,
        body,
        route,
        service,
        account,
        newRank,
        configurationVersion,
        arrivalNanos,
        timeout,
        caller);
  }

  /**
   * Gets the time that remains until the timeout.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the remaining time, zero or negative once the timeout has passed, never null
   */
  public Duration getRemainingTime(long nowNanos) {
    return timeout.minusNanos(nowNanos - arrivalNanos);
  }
}
