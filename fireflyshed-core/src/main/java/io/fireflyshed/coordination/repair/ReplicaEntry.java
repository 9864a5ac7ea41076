package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** Holds what the planner knows of one wanted replica. Not thread safe. */
final class ReplicaEntry {

  /** Orders replicas so that the one with least left to do comes first. */
  static final Comparator<ReplicaEntry> LEAST_LEFT_FIRST =
      Comparator.<ReplicaEntry>comparingInt(r -> r.keyAbsent)
          .thenComparingInt(r -> r.keyUnloaded)
          .thenComparingLong(r -> r.keySinceNanos)
          .thenComparing(r -> r.id);

  final ReplicaId id;
  final InstanceEntry[] members;
  DomainEntry domain;

  /** Whether the caller has yet to confirm the members. */
  boolean isPending;

  long brokenSinceNanos;
  int keyAbsent;
  int keyUnloaded;
  long keySinceNanos;

  ReplicaEntry(ReplicaId id, int size, long nowNanos) {
    this.id = id;
    this.members = new InstanceEntry[size];
    this.brokenSinceNanos = nowNanos;
  }

  /** Counts the places that have no instance, or one that is out. */
  int getAbsent() {
    int absent = 0;
    for (InstanceEntry member : members) {
      if (member == null || !member.isUp) {
        absent++;
      }
    }
    return absent;
  }

  int getUnloaded() {
    int unloaded = 0;
    for (InstanceEntry member : members) {
      if (member != null && member.isUp && !member.isLoaded) {
        unloaded++;
      }
    }
    return unloaded;
  }

  boolean isWhole() {
    return !isPending && getAbsent() == 0 && getUnloaded() == 0;
  }

  /** Gets the first member that may start its load, or null. */
  InstanceEntry getLoadable() {
    if (isPending) {
      return null;
    }
    for (InstanceEntry member : members) {
      if (member != null && member.isUp && !member.isLoaded && !member.isLoading) {
        return member;
      }
    }
    return null;
  }

  void updateKey() {
    keyAbsent = getAbsent();
    keyUnloaded = getUnloaded();
    keySinceNanos = brokenSinceNanos;
  }

  List<InstanceEntry> getUpMembers() {
    List<InstanceEntry> up = new ArrayList<>(members.length);
    for (InstanceEntry member : members) {
      if (member != null && member.isUp) {
        up.add(member);
      }
    }
    return up;
  }

  List<InstanceId> getMemberIds() {
    return Arrays.stream(members).map(m -> m.id).toList();
  }

  boolean isFull() {
    for (InstanceEntry member : members) {
      if (member == null) {
        return false;
      }
    }
    return true;
  }
}
