package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/** Logs what decides about the attempts of one request. Thread safe. */
final class AttemptLog {

  private static final EventLog LOG = new EventLog("forward");

  private final RoutedRequest routed;
  private final RequestFingerprints fingerprints;

  /**
   * Creates a log of a request.
   *
   * @param routed the request, not null
   * @param fingerprints its fingerprints, not null
   */
  AttemptLog(RoutedRequest routed, RequestFingerprints fingerprints) {
    this.routed = routed;
    this.fingerprints = fingerprints;
  }

  private String getId() {
    return routed.request().id();
  }

  void logRefusal(
      Placement.Refuse refusal, int candidates, Set<InstanceId> triedTargets, Outcome outcome) {
    LOG.info(
        "refused",
        "request",
        getId(),
        "reason",
        refusal.reason(),
        "pool",
        routed.getPool(),
        "targets",
        candidates,
        "tried",
        triedTargets,
        "outcome",
        outcome,
        "configuration",
        routed.configurationVersion());
  }

  void logStart(
      InstanceId target,
      Duration remaining,
      OptionalLong lastEventId,
      boolean isRelayed,
      int number,
      OptionalDouble requestLimit,
      OptionalDouble expectedMillis) {
    List<Object> fields = new ArrayList<>();
    fields.addAll(
        List.of(
            "request",
            getId(),
            "fingerprint",
            fingerprints.request(),
            "target",
            target,
            "left_ms",
            remaining.toMillis(),
            "after_event",
            lastEventId.orElse(-1),
            "relayed",
            isRelayed,
            "configuration",
            routed.configurationVersion(),
            "attempt",
            number,
            "limit_per_s",
            requestLimit.orElse(-1)));
    expectedMillis.ifPresent(millis -> fields.addAll(List.of("expected_ms", Math.round(millis))));
    LOG.info("sent", fields.toArray());
  }

  /** Logs that a request waits since all its targets are silent. */
  void logWait(Duration patience) {
    LOG.info(
        "waits for a target",
        "request",
        getId(),
        "pool",
        routed.getPool(),
        "patience_ms",
        patience.toMillis());
  }

  void logFailure(String peer, int events, AttemptException error, RetryVerdict verdict) {
    LOG.info(
        "attempt failed",
        "request",
        getId(),
        "fingerprint",
        fingerprints.request(),
        "service",
        routed.service(),
        "target",
        peer,
        "events",
        events,
        "parts",
        fingerprints.parts(),
        "error",
        error.getMessage(),
        "outcome",
        error.getOutcome(),
        "retried",
        verdict.isRetried(),
        "retry",
        verdict);
  }

  /** Logs that another attempt runs beside a silent one from now on. */
  void logSuccessor(String peer, int events, Duration silence) {
    LOG.info(
        "silent attempt gets a successor",
        "request",
        getId(),
        "target",
        peer,
        "events",
        events,
        "silent_ms",
        silence.toMillis());
  }

  /** Logs that an attempt ended because another one went on before it. */
  void logSuperseded(String peer, int events, String winner) {
    LOG.info(
        "attempt superseded",
        "request",
        getId(),
        "service",
        routed.service(),
        "target",
        peer,
        "events",
        events,
        "by",
        winner);
  }

  void logKept(String peer, RetryVerdict verdict) {
    LOG.info("silent attempt goes on", "request", getId(), "target", peer, "retry", verdict);
  }

  void logRelay(
      String reason,
      Duration remaining,
      OptionalLong lastEventId,
      int attempts,
      Set<InstanceId> excludedTargets) {
    LOG.info(
        "relayed",
        "request",
        getId(),
        "reason",
        reason,
        "left_ms",
        remaining.toMillis(),
        "after_event",
        lastEventId.orElse(-1),
        "attempts",
        attempts,
        "excluded",
        excludedTargets);
  }

  void logRelayFailure(List<InstanceId> targets, boolean areKnown) {
    LOG.info("relay failed", "request", getId(), "tried", targets, "known", areKnown);
  }

  void logTimeout(Set<InstanceId> triedTargets, Outcome outcome) {
    LOG.info("timed out", "request", getId(), "tried", triedTargets, "outcome", outcome);
  }
}
