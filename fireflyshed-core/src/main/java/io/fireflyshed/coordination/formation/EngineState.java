package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.Optional;

/** What the planner knows of one engine. Not thread safe. */
final class EngineState {

  private static final int LOST_FAILURES = 2;

  private Target target;
  private boolean isListed = true;
  private EngineReport report;
  private long reportSentNanos;
  private int failures;
  private boolean isAsked;
  private boolean isOrdered;
  private long askedNanos;
  private long dueNanos = Long.MIN_VALUE;
  private boolean isReportDue = true;
  private String lastModel = "";
  private long lastStartMillis;

  EngineState(Target target) {
    this.target = target;
  }

  Target getTarget() {
    return target;
  }

  void setTarget(Target target) {
    if (target.startMillis() != this.target.startMillis()) {
      requestReport();
    }
    this.target = target;
    this.isListed = true;
  }

  void setListed(boolean isListed) {
    this.isListed = isListed;
  }

  boolean isListed() {
    return isListed;
  }

  Optional<EngineReport> getReport() {
    return Optional.ofNullable(report);
  }

  Optional<Membership> getMembership() {
    return report == null ? Optional.empty() : report.membership();
  }

  String getLastModel() {
    return lastModel;
  }

  void onAsked(long nowNanos) {
    isAsked = true;
    isReportDue = false;
    askedNanos = nowNanos;
  }

  void onReport(EngineReport newReport) {
    if (newReport.startMillis() != lastStartMillis) {
      lastModel = "";
      lastStartMillis = newReport.startMillis();
    }
    isAsked = false;
    report = newReport;
    reportSentNanos = askedNanos;
    failures = 0;
    newReport.membership().ifPresent(m -> lastModel = m.getModel());
  }

  void onNoReport() {
    isAsked = false;
    failures++;
    if (failures < LOST_FAILURES) {
      requestReport();
    }
  }

  /** Tests whether the engine gave no sign of life for too long. */
  boolean isLost() {
    return failures >= LOST_FAILURES;
  }

  boolean isLeaving() {
    return target.isLeaving() || !isListed;
  }

  /** Tests whether the engine can be given orders on the ground of what is known of it. */
  boolean isOrderable() {
    return !isLost() && report != null && !isOrdered && !isReportDue;
  }

  void onOrderSent(EngineOrder order) {
    isOrdered = true;
    if (order instanceof EngineOrder.Join join) {
      lastModel = join.model();
    }
  }

  /** Takes in the answer to an order; reports that are older than it say nothing of its effect. */
  void onOrderAnswered(OrderReply reply, long nowNanos, Duration reportLag) {
    isOrdered = false;
    isReportDue = true;
    dueNanos = nowNanos + reportLag.toNanos();
    if (reply == OrderReply.HOLDS) {
      dueNanos = nowNanos;
    }
  }

  void requestReport() {
    if (!isReportDue) {
      isReportDue = true;
      dueNanos = Long.MIN_VALUE;
    }
  }

  boolean isReportDue(Duration interval, long nowNanos) {
    if (isAsked || isOrdered) {
      return false;
    }
    if (isReportDue) {
      return dueNanos == Long.MIN_VALUE || nowNanos - dueNanos >= 0;
    }
    return nowNanos - askedNanos > interval.toNanos();
  }

  /** Tests whether a report was asked for after a moment. */
  boolean isReportedSince(long nanos) {
    return report != null && reportSentNanos - nanos > 0;
  }
}
