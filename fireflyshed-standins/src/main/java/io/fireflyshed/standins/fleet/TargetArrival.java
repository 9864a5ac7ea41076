package io.fireflyshed.standins.fleet;

import java.time.Duration;
import java.util.Optional;
import reactor.netty.http.server.HttpServerRequest;

/**
 * A request that a {@link TargetStandIn} read.
 *
 * @param target the id of the target, not null
 * @param attempt the id of the caller's attempt, not null
 * @param nanos when it was read, in the time of {@link System#nanoTime}
 * @param time the time that the target was handed, empty if none was stated, not null
 */
public record TargetArrival(String target, String attempt, long nanos, Optional<Duration> time) {

  static TargetArrival of(String target, HttpServerRequest request, long nanos) {
    Optional<Duration> time =
        Optional.ofNullable(request.requestHeaders().get("X-Deadline-Ms"))
            .map(millis -> Duration.ofMillis(Long.parseLong(millis)));
    String attempt = request.requestHeaders().get("X-Attempt-Id", "");
    return new TargetArrival(target, attempt, nanos, time);
  }
}
