package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The planner's view of one engine: its last report, updated by the replies to orders, whose
 * effects reports show only after a lag. Not thread safe.
 */
final class EngineState {

  /** Consecutive failed report requests after which an engine counts as lost. */
  private static final int REPORT_FAILURES_UNTIL_LOST = 2;

  /**
   * The time without a reply to report requests after which an engine counts as lost. A sound
   * engine may be silent for about a second.
   */
  private static final Duration MAX_SILENCE = Duration.ofMillis(1500);

  /**
   * The time without a reply after which an engine counts as lost if its replica has been silent
   * for the time above. The silence may have another cause than this engine.
   */
  private static final Duration MIN_SILENCE = Duration.ofMillis(500);

  /** The age from which it no longer counts that the replica was silent. */
  private static final Duration REPLICA_SILENCE_MEMORY = Duration.ofSeconds(1);

  private Target target;
  private boolean isListed = true;
  private EngineReport report;

  /** Whether the last report must not be relied on until a newer one arrives. */
  private boolean isReportForgotten;

  private Optional<Membership> membership = Optional.empty();

  /** The model that the engine was last ready for since its start, or an empty text. */
  private String lastModel = "";

  /** When the engine was first known to be in its present replica. */
  private long membershipNanos;

  /** When the engine was last listed again, or as a new incarnation. */
  private OptionalLong returnNanos = OptionalLong.empty();

  private long orderSequence;
  private int reportFailures;
  private boolean isSilent;

  /** The time of the first report request that got no reply since the last report. */
  private long silentSinceNanos;

  /** The time since which the replica of the engine is known to be silent. */
  private long replicaSilentSinceNanos;

  /** The last time at which the replica of the engine was known to be silent. */
  private OptionalLong replicaSilentNanos = OptionalLong.empty();

  private boolean isReportPending;
  private boolean isReportDue = true;
  private boolean isOrderPending;
  private boolean isStateUncertain;
  private boolean isSuspect;
  private long requestedNanos;
  private long effectVisibleNanos = Long.MIN_VALUE;

  EngineState(Target target) {
    this.target = target;
  }

  Target getTarget() {
    return target;
  }

  void setTarget(Target newTarget) {
    if (newTarget.startMillis() != target.startMillis()) {
      isReportDue = true;
    }
    target = newTarget;
    isListed = true;
    adoptListedPhase();
  }

  /** Adopts the phase READY from the registry, which shows it sooner than a report does. */
  private void adoptListedPhase() {
    Optional<Membership> listed = target.membership();
    boolean isNewlyReady =
        listed.isPresent()
            && membership.filter(m -> m.isSameReplica(listed.get())).isPresent()
            && membership.get().phase() == MembershipPhase.JOINING
            && listed.get().phase() == MembershipPhase.READY;
    if (isNewlyReady) {
      setMembership(listed, membershipNanos);
    }
  }

  /** Records that the registry lists the engine again, or a new incarnation of it. */
  void recordReturn(long nowNanos) {
    returnNanos = OptionalLong.of(nowNanos);
    isReportDue = true;
  }

  /** Tests whether the engine returned less than a given time ago. */
  boolean hasReturnedWithin(Duration time, long nowNanos) {
    return returnNanos.isPresent() && nowNanos - returnNanos.getAsLong() < time.toNanos();
  }

  /**
   * Records that the registry no longer lists the engine, which may be lost or only disconnected.
   */
  void markUnlisted() {
    if (isListed) {
      markSuspect();
    }
    isListed = false;
  }

  boolean isListed() {
    return isListed;
  }

  boolean hasReport() {
    return report != null && !isReportForgotten;
  }

  Optional<Membership> getMembership() {
    return membership;
  }

  /** Returns the time since which the engine is known to be in its present replica. */
  long getMembershipNanos() {
    return membershipNanos;
  }

  /** Records a membership that was seen at a given time. */
  private void setMembership(Optional<Membership> newMembership, long nanos) {
    boolean isSame =
        newMembership.isPresent()
            && membership.filter(m -> m.isSameReplica(newMembership.get())).isPresent();
    if (!isSame) {
      membershipNanos = nanos;
    }
    membership = newMembership;
    membership.ifPresent(this::updateLastModel);
  }

  /** An engine that left before it was ready has to load the weights again. */
  private void updateLastModel(Membership current) {
    if (current.phase() != MembershipPhase.JOINING) {
      lastModel = current.getModel();
    } else if (!lastModel.equals(current.getModel())) {
      lastModel = "";
    }
  }

  long getOrderSequence() {
    return orderSequence;
  }

  /** Returns the start time of the engine according to its last report. */
  long getStartMillis() {
    return report.startMillis();
  }

  String getDomain() {
    return report.domain().value();
  }

  Set<String> getStagedModels() {
    return report.stagedModels();
  }

  boolean isBusy() {
    return report.isBusy();
  }

  /**
   * Returns the model that the engine was last ready for since its start, or an empty text if it
   * has begun to join a replica of another model since.
   */
  String getLastModel() {
    return lastModel;
  }

  /** Tests whether the engine has joined a replica and is not ready yet. */
  boolean isJoining() {
    return membership.filter(m -> m.phase() == MembershipPhase.JOINING).isPresent();
  }

  /** Tests whether the engine is ready for a model, or joins a replica of it. */
  boolean holds(String model) {
    return lastModel.equals(model)
        || isJoining() && membership.filter(m -> m.getModel().equals(model)).isPresent();
  }

  void recordReportRequest(long nowNanos) {
    isReportPending = true;
    isReportDue = false;
    requestedNanos = nowNanos;
  }

  /**
   * Records a report. Another engine may have taken over the address and answer in place of this
   * one, so a report with a start time other than the registry's counts as a failed request.
   */
  void recordReport(EngineReport newReport) {
    boolean isOtherIncarnation =
        target.startMillis() != 0 && newReport.startMillis() != target.startMillis();
    if (isOtherIncarnation) {
      recordReportFailure();
      return;
    }
    isReportPending = false;
    isSuspect = false;
    isSilent = false;
    reportFailures = 0;
    boolean isNewIncarnation = report == null || newReport.startMillis() != report.startMillis();
    boolean isStale =
        effectVisibleNanos != Long.MIN_VALUE && requestedNanos - effectVisibleNanos < 0;
    if (isStale && !isNewIncarnation) {
      isReportDue = true;
      return;
    }
    if (isNewIncarnation) {
      lastModel = "";
    }
    report = newReport;
    isReportForgotten = false;
    setMembership(newReport.membership(), requestedNanos);
    orderSequence = newReport.orderSequence();
    isStateUncertain = false;
    adoptListedPhase();
  }

  /**
   * Records that a report request got no reply in time, which a sound engine may cause for a while,
   * too.
   */
  void recordReportTimeout(long nowNanos) {
    isReportPending = false;
    if (!isSilent) {
      isSilent = true;
      silentSinceNanos = requestedNanos;
    }
    long silenceNanos = nowNanos - silentSinceNanos;
    boolean isSilentWithReplica =
        silenceNanos >= MIN_SILENCE.toNanos() && isReplicaSilent(nowNanos);
    if (isSuspect || silenceNanos >= MAX_SILENCE.toNanos() || isSilentWithReplica) {
      reportFailures = REPORT_FAILURES_UNTIL_LOST;
    } else {
      isReportDue = true;
    }
  }

  /** Tests whether the replica has been silent for as long as no sound engine is. */
  private boolean isReplicaSilent(long nowNanos) {
    return isReplicaSilenceKnown(nowNanos)
        && nowNanos - replicaSilentSinceNanos >= MAX_SILENCE.toNanos();
  }

  private boolean isReplicaSilenceKnown(long nowNanos) {
    return replicaSilentNanos.isPresent()
        && nowNanos - replicaSilentNanos.getAsLong() <= REPLICA_SILENCE_MEMORY.toNanos();
  }

  /**
   * Records that the streams of the engine's replica have no events, so that its next report is
   * requested at once.
   *
   * @param sinceNanos the time since which they have none
   * @param nowNanos the current time of the monotonic clock
   */
  void recordReplicaSilence(long sinceNanos, long nowNanos) {
    if (!isReplicaSilenceKnown(nowNanos)) {
      replicaSilentSinceNanos = sinceNanos;
      isReportDue = true;
    }
    replicaSilentNanos = OptionalLong.of(nowNanos);
  }

  /** Records that a report request was refused or got a reply that is no report of the engine. */
  void recordReportFailure() {
    isReportPending = false;
    reportFailures = isSuspect ? REPORT_FAILURES_UNTIL_LOST : reportFailures + 1;
    isReportDue = isReportDue || reportFailures < REPORT_FAILURES_UNTIL_LOST;
  }

  /** Tests whether enough report requests failed for the engine to count as lost. */
  boolean isLost() {
    return reportFailures >= REPORT_FAILURES_UNTIL_LOST;
  }

  /** Tests whether the engine announced that it is leaving. */
  boolean isLeaving() {
    return target.isLeaving();
  }

  /** Tests whether the state of the engine is known well enough to send it an order. */
  boolean isOrderable() {
    return hasReport() && !isLost() && !isSilent && !isOrderPending && !isStateUncertain;
  }

  void recordOrderSent() {
    isOrderPending = true;
  }

  /**
   * Records the reply to an order.
   *
   * @param order the order, not null
   * @param reply the reply, not null
   * @param nowNanos the current time of the monotonic clock
   * @param reportLag the age of the data in a report; a report that was requested less than this
   *     after the reply doesn't show the effect of the order; not null
   */
  void recordOrderReply(EngineOrder order, OrderReply reply, long nowNanos, Duration reportLag) {
    isOrderPending = false;
    isReportDue = true;
    effectVisibleNanos = nowNanos + reportLag.toNanos();
    boolean hasLeft = reply == OrderReply.HOLDS && order instanceof EngineOrder.Leave;
    if (reply == OrderReply.BEGUN || hasLeft) {
      orderSequence++;
      applyEffect(order, nowNanos);
    } else {
      isStateUncertain = true;
    }
  }

  private void applyEffect(EngineOrder order, long nowNanos) {
    if (order instanceof EngineOrder.Join join) {
      int rank = join.members().indexOf(target.id());
      Membership joined =
          new Membership(join.replica(), join.generation(), rank, MembershipPhase.JOINING);
      setMembership(Optional.of(joined), nowNanos);
    } else if (order instanceof EngineOrder.Leave) {
      membership = Optional.empty();
    } else if (order instanceof EngineOrder.Close) {
      membership =
          membership.map(
              m -> new Membership(m.replica(), m.generation(), m.rank(), MembershipPhase.CLOSING));
    } else {
      // The engine's state changes only later; the next report shows it.
      isStateUncertain = true;
    }
  }

  void markReportDue() {
    isReportDue = true;
  }

  /**
   * Forgets what the last report and failed requests showed, so that the engine counts as unknown
   * until its next report. Requests and orders under way remain recorded.
   */
  void forget() {
    isReportForgotten = true;
    membership = Optional.empty();
    isSuspect = false;
    isSilent = false;
    reportFailures = 0;
    isReportDue = true;
  }

  /** Makes a single further failed report request decide whether a lost engine is lost. */
  void doubtLoss() {
    if (isLost()) {
      reportFailures = REPORT_FAILURES_UNTIL_LOST - 1;
      isReportDue = true;
    }
  }

  /**
   * Records a sign that the engine may be lost, which a single failed report request then confirms.
   */
  void markSuspect() {
    isSuspect = true;
    isReportDue = true;
  }

  boolean isReportDue(Duration interval, long nowNanos) {
    boolean isEffectVisible =
        effectVisibleNanos == Long.MIN_VALUE || nowNanos - effectVisibleNanos >= 0;
    if (isReportPending || isOrderPending || !isEffectVisible) {
      return false;
    }
    return isReportDue || nowNanos - requestedNanos > interval.toNanos();
  }
}
