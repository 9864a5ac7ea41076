package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;

/** Names one step that a {@link RepairPlanner} proposes. */
public sealed interface RepairAction {

  /**
   * Gives a replica its members, in place of those that it had. Members that stay keep their place.
   * The caller confirms with {@link RepairEvent.ReplicaFormed}.
   *
   * @param replica the replica, not null
   * @param members the members in their order, the head first, all of one fabric domain, copied,
   *     not null
   */
  record SetMembers(ReplicaId replica, List<InstanceId> members) implements RepairAction {

    /** Checks the parts and copies the members. */
    public SetMembers {
      Objects.requireNonNull(replica, "replica");
      members = List.copyOf(members);
    }
  }

  /**
   * Dissolves a replica, whose members another replica needs to become whole sooner.
   *
   * @param replica the replica, not null
   */
  record Dissolve(ReplicaId replica) implements RepairAction {

    /** Checks the part of the record. */
    public Dissolve {
      Objects.requireNonNull(replica, "replica");
    }
  }

  /**
   * Starts the load of a member. The caller confirms with {@link RepairEvent.LoadFinished}.
   *
   * @param replica the replica, not null
   * @param member the member, not null
   */
  record StartLoad(ReplicaId replica, InstanceId member) implements RepairAction {

    /** Checks the parts of the record. */
    public StartLoad {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(member, "member");
    }
  }
}
