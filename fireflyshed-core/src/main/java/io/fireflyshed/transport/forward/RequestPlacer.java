package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.RequestRun;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import reactor.core.publisher.Mono;

/** Selects targets for one request and learns from their responses. Thread safe. */
final class RequestPlacer {

  private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(300);

  /** The retry delay while the targets aren't known yet; reading them takes a few milliseconds. */
  private static final Duration RETRY_AFTER_NOT_READ = Duration.ofMillis(200);

  private static final EventLog LOG = new EventLog("forward");

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestDescriptor descriptor;
  private final boolean isRelayed;
  private CrashTrial trial = CrashTrial.none();

  /**
   * Creates a placer of a request.
   *
   * @param context what all requests share, not null
   * @param routed the request, not null
   * @param isRelayed whether another entry relayed the request
   */
  RequestPlacer(ForwardContext context, RoutedRequest routed, boolean isRelayed) {
    this.context = context;
    this.routed = routed;
    this.descriptor = routed.describe();
    this.isRelayed = isRelayed;
  }

  /**
   * Requests the permission for a trial if the request is refused as one that crashes targets, and
   * could be sent otherwise.
   *
   * @return completes at once unless a trial is due
   */
  Mono<Void> requestTrial() {
    boolean isPossible = !isRelayed && !getCandidates().isEmpty();
    if (!isPossible || context.crashGuard().getRefusal(routed.getFingerprints()).isEmpty()) {
      return Mono.empty();
    }
    return context
        .crashGuard()
        .requestTrial(routed.getFingerprints())
        .doOnNext(granted -> trial = granted)
        .then();
  }

  /**
   * Places the next attempt.
   *
   * @param excluded the targets that were tried before, not null
   * @param isContactLost whether an attempt failed as when the path to its target is cut
   * @param isRelayAllowed whether another entry may be asked
   */
  Placement place(Set<InstanceId> excluded, boolean isContactLost, boolean isRelayAllowed) {
    Placement placement =
        getRefusal(isContactLost, isRelayAllowed)
            .orElseGet(
                () ->
                    context
                        .placer()
                        .place(descriptor, getCandidates(), excluded, context.clock().nanoTime()));
    if (trial.isUsable()) {
      endTrial(placement);
    }
    return placement;
  }

  private void endTrial(Placement placement) {
    if (placement instanceof Placement.Send) {
      trial.use();
    } else {
      trial.giveBack();
    }
  }

  /** Places an attempt that may take over from a silent one. */
  Placement placeRunning(Set<InstanceId> excluded, boolean isRelayAllowed) {
    return getRefusal(true, isRelayAllowed)
        .orElseGet(
            () ->
                context
                    .placer()
                    .placeRunning(
                        descriptor, getCandidates(), excluded, context.clock().nanoTime()));
  }

  /**
   * Does the same after other entries refused it. Only an isolated entry still leaves the request
   * to them, as none of its targets responds; an impaired one may have a sound target.
   */
  Placement placeRunningHere(Set<InstanceId> excluded) {
    return placeRunning(excluded, context.reachability().isIsolated());
  }

  /** Returns the refusal of a request that this entry should send to no target, empty if none. */
  private Optional<Placement> getRefusal(boolean isContactLost, boolean isRelayAllowed) {
    Optional<Duration> refusal = context.crashGuard().getRefusal(routed.getFingerprints());
    if (refusal.isPresent() && !trial.isUsable()) {
      return Optional.of(
          new Placement.Refuse(
              Placement.Cause.NOT_PERMITTED,
              "the request crashes the targets that run it",
              refusal.get()));
    }
    if (!context.targetView().isRead()) {
      return Optional.of(
          new Placement.Refuse(
              Placement.Cause.NOT_PERMITTED,
              "the list of targets has not been read yet",
              RETRY_AFTER_NOT_READ));
    }
    if (isRelayed && context.stop().isStopping()) {
      return Optional.of(
          new Placement.Refuse(
              Placement.Cause.NOT_PERMITTED, "the entry stops", RETRY_AFTER_FAILURE));
    }
    if (isElsewherePreferred(isContactLost, isRelayAllowed) && !getCandidates().isEmpty()) {
      return Optional.of(
          new Placement.Refuse(
              Placement.Cause.UNREACHABLE, "this entry reaches no target", RETRY_AFTER_FAILURE));
    }
    return Optional.empty();
  }

  /**
   * Tests whether another entry should send the request to a target. An impaired entry may have
   * sound connections, on which its own requests may succeed at the first attempt.
   */
  private boolean isElsewherePreferred(boolean isContactLost, boolean isRelayAllowed) {
    Reachability reachability = context.reachability();
    if (isRelayed) {
      return reachability.isImpaired();
    }
    return isRelayAllowed
        && (reachability.isIsolated() || isContactLost && reachability.isImpaired());
  }

  private boolean isGeneration() {
    return routed.request().prompt().isPresent();
  }

  /** Lists the targets that could run the request. */
  List<Target> getCandidates() {
    return context.getCandidates(routed.service(), routed.getPool(), isGeneration());
  }

  /** Creates what follows an attempt at a target, which goes on after some events. */
  RequestRun newRun(Target target, long eventsBefore) {
    return context.placer().getCosts().newRun(descriptor, target.id(), eventsBefore);
  }

  /** Asks the other targets once one turned out silent, so that further ones are known sooner. */
  void onSilent(TargetSilentException silence) {
    if (silence.isFirst()) {
      context
          .validator()
          .ask(
              getCandidates().stream()
                  .filter(target -> AttemptSender.isValidated(context, routed, target))
                  .toList());
    }
  }

  /**
   * Tests whether another entry may take the request.
   *
   * @param placement the placement at this entry, not null
   * @param excluded the targets that another entry must not try, not null
   * @param isRelayAllowed whether another entry may be asked
   */
  boolean isRelayable(Placement placement, Set<InstanceId> excluded, boolean isRelayAllowed) {
    return placement instanceof Placement.Refuse refusal
        && refusal.cause() == Placement.Cause.UNREACHABLE
        && isRelayAllowed
        && getCandidates().stream().anyMatch(t -> !excluded.contains(t.id()));
  }

  /** Records the load and the limit that a target stated. */
  void onResponse(Target target, TargetAnswer response) {
    response
        .load()
        .ifPresent(
            l ->
                context
                    .placer()
                    .onLoad(
                        target.id(),
                        l.running() + l.waiting(),
                        l.slots(),
                        context.clock().nanoTime()));
    onRequestLimit(target, response);
  }

  /** Records the limit of a target; only a successful response without one lifts it. */
  void onRequestLimit(Target target, TargetAnswer response) {
    OptionalDouble limit = response.requestLimit();
    if ((limit.isPresent() || response.isSuccess())
        && context.placer().onRequestLimit(target.id(), limit)) {
      LOG.info(
          limit.isPresent() ? "target limits its requests" : "target lifted its limit",
          "target",
          target.id(),
          "limit_per_s",
          limit.orElse(-1));
    }
  }
}
