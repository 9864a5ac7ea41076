package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** What the planner knows about one wanted replica. Not thread safe. */
final class TrackedReplica {

  /** Orders replicas by their remaining work, the least first. */
  static final Comparator<TrackedReplica> LEAST_REMAINING_FIRST =
      Comparator.<TrackedReplica>comparingInt(r -> r.keyMissing)
          .thenComparingInt(r -> r.keyUnloaded)
          .thenComparingLong(r -> r.keyIncompleteSinceNanos)
          .thenComparing(r -> r.id);

  final ReplicaId id;
  final TrackedInstance[] members;
  TrackedDomain domain;

  /** Whether the caller has not confirmed the members yet. */
  boolean isUnconfirmed;

  long incompleteSinceNanos;
  int keyMissing;
  int keyUnloaded;
  long keyIncompleteSinceNanos;

  TrackedReplica(ReplicaId id, int size, long nowNanos) {
    this.id = id;
    this.members = new TrackedInstance[size];
    this.incompleteSinceNanos = nowNanos;
  }

  /** Returns the number of positions without an instance or with an instance that is down. */
  int countMissing() {
    int missing = 0;
    for (TrackedInstance member : members) {
      if (member == null || !member.isUp) {
        missing++;
      }
    }
    return missing;
  }

  int countUnloaded() {
    int unloaded = 0;
    for (TrackedInstance member : members) {
      if (member != null && member.isUp && !member.isLoaded) {
        unloaded++;
      }
    }
    return unloaded;
  }

  boolean isComplete() {
    return !isUnconfirmed && countMissing() == 0 && countUnloaded() == 0;
  }

  /** Returns the first member that may start its load, or null if there is none. */
  TrackedInstance findLoadableMember() {
    if (isUnconfirmed) {
      return null;
    }
    for (TrackedInstance member : members) {
      if (member != null && member.isUp && !member.isLoaded && !member.isLoading) {
        return member;
      }
    }
    return null;
  }

  void updateSortKey() {
    keyMissing = countMissing();
    keyUnloaded = countUnloaded();
    keyIncompleteSinceNanos = incompleteSinceNanos;
  }

  List<TrackedInstance> getUpMembers() {
    List<TrackedInstance> up = new ArrayList<>(members.length);
    for (TrackedInstance member : members) {
      if (member != null && member.isUp) {
        up.add(member);
      }
    }
    return up;
  }

  List<InstanceId> getMemberIds() {
    return Arrays.stream(members).map(m -> m.id).toList();
  }

  boolean isFullyAssigned() {
    for (TrackedInstance member : members) {
      if (member == null) {
        return false;
      }
    }
    return true;
  }
}
