package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Waits until no entry can still use a replica that dissolves.
 *
 * <p>An entry needs evidence from every member, so the replica is out of use when one member has
 * stopped and the evidence that it gave before has run out. A member has stopped when its engine
 * says so in an answer to a probe that was sent after all earlier orders have run out, or, if
 * engines refuse old fencing numbers, when it has accepted the order to unload. All times start at
 * the moment at which this coordinator saw the phase in the table, so a new coordinator starts the
 * wait anew. Not thread safe.
 */
final class DissolveTracker {

  private final Assignment assignment;
  private final DissolveTiming timing;
  private final long seenNanos;
  private final Set<InstanceId> stopped = new HashSet<>();
  private boolean isStopSeen;
  private long stopNanos;
  private boolean isOrderSent;
  private long orderNanos;

  DissolveTracker(Assignment assignment, DissolveTiming timing, long seenNanos) {
    this.assignment = Objects.requireNonNull(assignment, "assignment");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.seenNanos = seenNanos;
  }

  Assignment getAssignment() {
    return assignment;
  }

  /** Tests whether the engines may be told to stop: streams broke, or had time to finish. */
  boolean isUnloadDue(boolean isDrained, long nowNanos) {
    return isDrained || nowNanos - seenNanos >= timing.drainTime().toNanos();
  }

  boolean isStopped(InstanceId member) {
    return stopped.contains(member);
  }

  void onOrderSent(long nowNanos) {
    isOrderSent = true;
    orderNanos = nowNanos;
  }

  void onUnloadAccepted(InstanceId member, long nowNanos) {
    if (timing.isFencing()) {
      onStopped(member, nowNanos);
    }
  }

  void onHealth(MemberHealth health, long sentNanos, long nowNanos) {
    if (isRunning(health)) {
      return;
    }
    if (!timing.isFencing() && sentNanos - seenNanos >= timing.getQuarantineNanos()) {
      onStopped(health.instance(), nowNanos);
    }
  }

  /** Takes in that the platform has stopped all members. */
  void onAllGone(long nowNanos) {
    assignment.members().forEach(m -> onStopped(m.id(), nowNanos));
  }

  private boolean isRunning(MemberHealth health) {
    return health.generation() == assignment.generation()
        && health.replica().filter(assignment.id()::equals).isPresent();
  }

  private void onStopped(InstanceId member, long nowNanos) {
    stopped.add(member);
    if (!isStopSeen) {
      isStopSeen = true;
      stopNanos = nowNanos;
    }
  }

  /** Tests whether the members may be given free. */
  boolean isFree(long nowNanos) {
    boolean isGrantOver = isStopSeen && nowNanos - stopNanos >= timing.getGrantNanos();
    long quarantineNanos = timing.isFencing() ? 0 : timing.getQuarantineNanos();
    boolean isOrderOver = !isOrderSent || nowNanos - orderNanos >= quarantineNanos;
    return isGrantOver && isOrderOver;
  }
}
