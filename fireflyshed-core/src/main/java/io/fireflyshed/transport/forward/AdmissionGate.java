package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.admission.AdmissionDecision;
import io.fireflyshed.coordination.admission.RankAdmission;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.PoolRoom;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.ServiceRanks;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Has requests of callers admitted by their ranks before their first attempt, where the ranks of
 * the service differ. Other requests pass unchanged and unseen. Thread safe.
 */
final class AdmissionGate {

  /** Limits the gauges of thresholds. */
  private static final int MAX_GAUGES = 64;

  private static final EventLog LOG = new EventLog("forward");

  private final RankAdmission admission;
  private final Supplier<ServiceRanks> ranks;
  private final MeterRegistry registry;
  private final Set<String> gauges = new HashSet<>();

  /**
   * Creates a gate.
   *
   * @param admission decides, not null
   * @param ranks gets the services whose requests differ in their ranks, not null
   * @param registry registers the counters of admitted and refused requests, not null
   */
  AdmissionGate(RankAdmission admission, Supplier<ServiceRanks> ranks, MeterRegistry registry) {
    this.admission = Objects.requireNonNull(admission, "admission");
    this.ranks = Objects.requireNonNull(ranks, "ranks");
    this.registry = Objects.requireNonNull(registry, "registry");
  }

  /**
   * Admits a request.
   *
   * @param context what all requests share, not null
   * @param routed the request, not null
   * @return the request as it is sent to targets, the same one where ranks don't differ
   * @throws ForwardException if the request is refused
   */
  RoutedRequest admit(ForwardContext context, RoutedRequest routed) {
    // A caller that goes on with an interrupted stream would lose what it has.
    boolean isResumed = routed.request().lastEventId().isPresent();
    if (!ranks.get().isRanked(routed.service())
        || isResumed
        || context.reachability().isImpaired()) {
      return routed;
    }
    RequestDescriptor request = routed.describe();
    List<Target> candidates =
        context.getCandidates(routed.service(), request.pool(), request.isModelPool());
    long now = context.clock().nanoTime();
    PoolRoom room = context.placer().measureRoom(candidates, request.isModelPool(), now);
    if (room.slots() == 0) {
      return routed;
    }
    AdmissionDecision decision = admission.decide(request, room, now);
    registerGauge(request.pool(), request.rank());
    if (decision instanceof AdmissionDecision.Admit admit) {
      count("admitted", request.rank());
      return admit.rank().equals(routed.rank()) ? routed : routed.withRank(admit.rank());
    }
    count("refused", request.rank());
    throw newRefusal(routed, room, (AdmissionDecision.Refuse) decision);
  }

  private static ForwardException newRefusal(
      RoutedRequest routed, PoolRoom room, AdmissionDecision.Refuse refusal) {
    LOG.info(
        "refused",
        "request",
        routed.request().id(),
        "reason",
        "room is kept for more urgent requests",
        "pool",
        routed.getPool(),
        "rank",
        routed.rank().value(),
        "threshold",
        Math.round(refusal.threshold()),
        "used",
        room.used(),
        "slots",
        room.slots(),
        "retry_after_ms",
        refusal.retryAfter().toMillis(),
        "configuration",
        routed.configurationVersion());
    return new ForwardException(
        "admit",
        "entry",
        "the targets are at capacity for requests of this rank",
        Outcome.NOT_RUN,
        refusal.retryAfter(),
        false);
  }

  private void count(String decision, Rank rank) {
    Counter.builder("fireflyshed.admission.requests")
        .tags("decision", decision, "rank", getLabel(rank))
        .register(registry)
        .increment();
  }

  private synchronized void registerGauge(String pool, Rank rank) {
    String key = pool + "/" + rank.value();
    if (gauges.size() < MAX_GAUGES && gauges.add(key)) {
      registry.gauge(
          "fireflyshed.admission.threshold",
          Tags.of("pool", pool, "rank", getLabel(rank)),
          admission,
          a -> a.getThreshold(pool, rank));
    }
  }

  /** Returns the label of a rank; ranks beyond those of targets share one. */
  private static String getLabel(Rank rank) {
    return "" + Math.min(rank.value(), ServiceRanks.PRIORITIES);
  }
}
