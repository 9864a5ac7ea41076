package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.Membership;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the planner knows of one generation of a replica. Not thread safe. */
final class ReplicaState {

  /** Names what is done with a replica. */
  enum Stage {
    /** Its members join. */
    FORMING,
    /** It serves or was told to. */
    SERVING,
    /** It finishes its work, since a member leaves. */
    CLOSING,
    /** Its head is told to leave; its members stay until that is certain. */
    DISSOLVING
  }

  private final ReplicaId id;
  private final long generation;
  private final long startNanos;
  private final List<InstanceId> members;
  private final Map<InstanceId, Long> starts = new HashMap<>();
  private Stage stage;
  private long openOrderNanos = Long.MIN_VALUE;

  /** Creates a replica that this planner forms. */
  ReplicaState(ReplicaId id, long generation, List<InstanceId> members, long nowNanos) {
    this.id = id;
    this.generation = generation;
    this.members = new ArrayList<>(members);
    this.startNanos = nowNanos;
    this.stage = Stage.FORMING;
  }

  /** Creates a replica that a predecessor formed; its members become known by their reports. */
  static ReplicaState ofFound(Membership membership, int size, long nowNanos) {
    List<InstanceId> unknown = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      unknown.add(null);
    }
    ReplicaState found =
        new ReplicaState(membership.replica(), membership.generation(), List.of(), nowNanos);
    found.members.addAll(unknown);
    return found;
  }

  /** Remembers in which life a member was told to join. */
  void rememberStart(InstanceId member, long startMillis) {
    starts.put(member, startMillis);
  }

  /** Tests whether a member still is in the life in which it was told to join. */
  boolean isSameLife(InstanceId member, long startMillis) {
    return starts.getOrDefault(member, startMillis - 1) == startMillis;
  }

  void onFound(InstanceId member, int rank) {
    if (rank >= 0 && rank < members.size() && members.get(rank) == null) {
      members.set(rank, member);
    }
  }

  ReplicaId getId() {
    return id;
  }

  long getGeneration() {
    return generation;
  }

  String getModel() {
    return ReplicaNameUtils.getModel(id);
  }

  /** Gets the members by rank; a member that is not known yet is null. */
  List<InstanceId> getMembers() {
    return members;
  }

  InstanceId getHead() {
    return members.isEmpty() ? null : members.get(0);
  }

  Stage getStage() {
    return stage;
  }

  void setStage(Stage stage) {
    this.stage = stage;
  }

  long getStartNanos() {
    return startNanos;
  }

  /** Tests whether the head was told to serve a moment ago, so that it may still open. */
  boolean isOpening(long nowNanos, long openNanos) {
    return openOrderNanos != Long.MIN_VALUE && nowNanos - openOrderNanos < openNanos;
  }

  void setOpenOrdered(long nowNanos) {
    openOrderNanos = nowNanos;
  }

  boolean isLive() {
    return stage == Stage.FORMING || stage == Stage.SERVING;
  }

  boolean isSame(Membership membership) {
    return membership.generation() == generation && membership.replica().equals(id);
  }
}
