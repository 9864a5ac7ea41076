package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.Membership;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The planner's view of one generation of a replica. Not thread safe. */
final class ReplicaState {

  /** The stages of a replica from the planner's view. */
  enum Stage {
    /** The members are joining. */
    FORMING,
    /** The replica serves or was ordered to. */
    SERVING,
    /**
     * The replica finishes its running requests, since a member is leaving or engines are moved.
     */
    CLOSING,
    /** The head is ordered to leave; the members stay assigned until it reports that it left. */
    DISSOLVING
  }

  private final ReplicaId id;
  private final long generation;
  private final long startNanos;
  private final List<InstanceId> members;
  private final Map<InstanceId, Long> memberStarts = new HashMap<>();
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

  /** Creates a replica that a predecessor formed; its members are added as they report. */
  static ReplicaState ofReported(Membership membership, int size, long nowNanos) {
    List<InstanceId> unknown = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      unknown.add(null);
    }
    ReplicaState replica =
        new ReplicaState(membership.replica(), membership.generation(), List.of(), nowNanos);
    replica.members.addAll(unknown);
    return replica;
  }

  /** Records the start time of the incarnation in which a member was ordered to join. */
  void recordStart(InstanceId member, long startMillis) {
    memberStarts.put(member, startMillis);
  }

  /** Tests whether a member has not restarted since it was ordered to join. */
  boolean isSameIncarnation(InstanceId member, long startMillis) {
    return memberStarts.getOrDefault(member, startMillis - 1) == startMillis;
  }

  /** Tests whether the member with the rank of a membership has not reported yet. */
  boolean isMemberMissing(Membership membership) {
    int rank = membership.rank();
    return membership.generation() == generation
        && (rank < 0 || rank >= members.size() || members.get(rank) == null);
  }

  void recordMember(InstanceId member, int rank) {
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

  /** Returns the members by rank; null stands for a member that has not reported yet. */
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

  /** Tests whether the head was ordered to open so recently that it may still do so. */
  boolean isOpening(long nowNanos, long openTimeNanos) {
    return openOrderNanos != Long.MIN_VALUE && nowNanos - openOrderNanos < openTimeNanos;
  }

  void recordOpenOrder(long nowNanos) {
    openOrderNanos = nowNanos;
  }

  boolean isLive() {
    return stage == Stage.FORMING || stage == Stage.SERVING;
  }

  boolean matches(Membership membership) {
    return membership.generation() == generation && membership.replica().equals(id);
  }
}
