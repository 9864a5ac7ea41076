package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * What the planner knows of one engine: its reports, and the effects of answered orders, which
 * reports show only after a lag. Not thread safe.
 */
final class EngineState {

  /** The reports in a row that fail before an engine counts as lost. */
  private static final int LOST_FAILURES = 2;

  private Target target;
  private boolean isListed = true;
  private EngineReport report;
  private Optional<Membership> membership = Optional.empty();
  private long orderSequence;
  private String lastModel = "";
  private int failures;
  private boolean isAsked;
  private boolean isReportDue = true;
  private boolean isOrdered;
  private boolean isUncertain;
  private boolean isSuspect;
  private long askedNanos;
  private long effectNanos = Long.MIN_VALUE;

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
    takeListedPhase();
  }

  /** Takes in that the registry lists a member as ready, which it shows sooner than a report. */
  private void takeListedPhase() {
    Optional<Membership> listed = target.membership();
    boolean isNews =
        listed.isPresent()
            && membership.filter(m -> m.isSameReplica(listed.get())).isPresent()
            && membership.get().phase() == MembershipPhase.JOINING
            && listed.get().phase() == MembershipPhase.READY;
    if (isNews) {
      membership = listed;
    }
  }

  /** Takes in that the registry lists the engine no more; it may be lost or only out of touch. */
  void setUnlisted() {
    if (isListed) {
      suspect();
    }
    isListed = false;
  }

  boolean isListed() {
    return isListed;
  }

  boolean isKnown() {
    return report != null;
  }

  Optional<Membership> getMembership() {
    return membership;
  }

  long getOrderSequence() {
    return orderSequence;
  }

  /** Gets the start of the engine's life as its last report told it. */
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

  /** Gets the model of the engine's last replica since its start, or an empty text. */
  String getLastModel() {
    return lastModel;
  }

  void onAsked(long nowNanos) {
    isAsked = true;
    isReportDue = false;
    askedNanos = nowNanos;
  }

  /**
   * Takes in a report. The address of an engine may have passed to another one, which answers for
   * it; only a report of the life that the registry lists is the engine's own.
   */
  void onReport(EngineReport newReport) {
    boolean isOther = target.startMillis() != 0 && newReport.startMillis() != target.startMillis();
    if (isOther) {
      onNoReport();
      return;
    }
    isAsked = false;
    isSuspect = false;
    failures = 0;
    boolean isNewLife = report == null || newReport.startMillis() != report.startMillis();
    boolean isStale = effectNanos != Long.MIN_VALUE && askedNanos - effectNanos < 0;
    if (isStale && !isNewLife) {
      isReportDue = true;
      return;
    }
    if (isNewLife) {
      lastModel = "";
    }
    report = newReport;
    membership = newReport.membership();
    orderSequence = newReport.orderSequence();
    isUncertain = false;
    membership.ifPresent(m -> lastModel = m.getModel());
    takeListedPhase();
  }

  void onNoReport() {
    isAsked = false;
    failures = isSuspect ? LOST_FAILURES : failures + 1;
    isReportDue = isReportDue || failures < LOST_FAILURES;
  }

  /** Tests whether the engine gave no sign of life for too long. */
  boolean isLost() {
    return failures >= LOST_FAILURES;
  }

  /** Tests whether the engine announced that it leaves. */
  boolean isLeaving() {
    return target.isLeaving();
  }

  /** Tests whether enough is known of the engine to give it an order. */
  boolean isOrderable() {
    return report != null && !isLost() && !isOrdered && !isUncertain;
  }

  void onOrderSent() {
    isOrdered = true;
  }

  /**
   * Takes in the answer to an order.
   *
   * @param reportLag the age of what reports say; those asked for sooner don't show the effect
   */
  void onOrderAnswered(EngineOrder order, OrderReply reply, long nowNanos, Duration reportLag) {
    isOrdered = false;
    isReportDue = true;
    effectNanos = nowNanos + reportLag.toNanos();
    boolean hasLeft = reply == OrderReply.HOLDS && order instanceof EngineOrder.Leave;
    if (reply == OrderReply.BEGUN || hasLeft) {
      orderSequence++;
      applyEffect(order);
    } else {
      isUncertain = true;
    }
  }

  private void applyEffect(EngineOrder order) {
    if (order instanceof EngineOrder.Join join) {
      int rank = join.members().indexOf(target.id());
      membership =
          Optional.of(
              new Membership(join.replica(), join.generation(), rank, MembershipPhase.JOINING));
      lastModel = join.model();
    } else if (order instanceof EngineOrder.Leave) {
      membership = Optional.empty();
    } else if (order instanceof EngineOrder.Close) {
      membership =
          membership.map(
              m -> new Membership(m.replica(), m.generation(), m.rank(), MembershipPhase.CLOSING));
    } else {
      // The effect comes later and shows in a report.
      isUncertain = true;
    }
  }

  void requestReport() {
    isReportDue = true;
  }

  /** Takes in a sign that the engine may be lost; one failed report then proves it. */
  void suspect() {
    isSuspect = true;
    isReportDue = true;
  }

  boolean isReportDue(Duration interval, long nowNanos) {
    boolean isEffectShown = effectNanos == Long.MIN_VALUE || nowNanos - effectNanos >= 0;
    if (isAsked || isOrdered || !isEffectShown) {
      return false;
    }
    return isReportDue || nowNanos - askedNanos > interval.toNanos();
  }
}
