package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Determines when no entry can use a dissolving replica any more, so that its members may be
 * released.
 *
 * <p>An entry needs evidence from every member, so the replica is out of use once one member has
 * stopped and its earlier evidence has expired. A member counts as stopped when its engine reports
 * so in the answer to a probe that was sent after all earlier orders had expired or, if engines
 * enforce fencing, when its engine has accepted an order to unload. All durations are measured from
 * the time at which this coordinator read the dissolving phase from the table, so a new coordinator
 * restarts the wait. Not thread safe.
 */
final class DissolveTracker {

  private final Assignment assignment;
  private final DissolveTiming timing;
  private final long dissolvingSinceNanos;
  private final Set<InstanceId> stopped = new HashSet<>();
  private boolean isAnyStopped;
  private long firstStopNanos;
  private boolean isOrderSent;
  private long lastOrderNanos;

  DissolveTracker(Assignment assignment, DissolveTiming timing, long dissolvingSinceNanos) {
    this.assignment = Objects.requireNonNull(assignment, "assignment");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.dissolvingSinceNanos = dissolvingSinceNanos;
  }

  Assignment getAssignment() {
    return assignment;
  }

  /**
   * Tests whether the engines may be ordered to unload: the streams have failed or had time to
   * finish.
   */
  boolean isUnloadDue(boolean isDrained, long nowNanos) {
    return isDrained || nowNanos - dissolvingSinceNanos >= timing.drainTimeout().toNanos();
  }

  boolean isStopped(InstanceId member) {
    return stopped.contains(member);
  }

  void onOrderSent(long nowNanos) {
    isOrderSent = true;
    lastOrderNanos = nowNanos;
  }

  void onUnloadAccepted(InstanceId member, long nowNanos) {
    if (timing.isFencingEnforced()) {
      markStopped(member, nowNanos);
    }
  }

  void onHealth(MemberHealth health, long sentNanos, long nowNanos) {
    if (isRunning(health)) {
      return;
    }
    if (!timing.isFencingEnforced()
        && sentNanos - dissolvingSinceNanos >= timing.getQuarantineNanos()) {
      markStopped(health.instance(), nowNanos);
    }
  }

  /** Records that the platform has stopped all members. */
  void onAllStopped(long nowNanos) {
    assignment.members().forEach(m -> markStopped(m.id(), nowNanos));
  }

  private boolean isRunning(MemberHealth health) {
    return health.generation() == assignment.generation()
        && health.replica().filter(assignment.id()::equals).isPresent();
  }

  private void markStopped(InstanceId member, long nowNanos) {
    stopped.add(member);
    if (!isAnyStopped) {
      isAnyStopped = true;
      firstStopNanos = nowNanos;
    }
  }

  /** Tests whether the members may be released. */
  boolean isReleasable(long nowNanos) {
    boolean isUseOver = isAnyStopped && nowNanos - firstStopNanos >= timing.getUseAfterStopNanos();
    long quarantineNanos = timing.isFencingEnforced() ? 0 : timing.getQuarantineNanos();
    boolean isOrderExpired = !isOrderSent || nowNanos - lastOrderNanos >= quarantineNanos;
    return isUseOver && isOrderExpired;
  }
}
