package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;

/** An action that a {@link RepairPlanner} proposes. */
public sealed interface RepairAction {

  /**
   * Sets the members of a replica, replacing its previous members. Members that stay keep their
   * position. The caller confirms with {@link RepairEvent.ReplicaFormed}.
   *
   * @param replica the replica, not null
   * @param members the members in order, the head first, all in one fabric domain, copied, not null
   */
  record SetMembers(ReplicaId replica, List<InstanceId> members) implements RepairAction {

    /** Validates the components and copies the members. */
    public SetMembers {
      Objects.requireNonNull(replica, "replica");
      members = List.copyOf(members);
    }
  }

  /**
   * Dissolves a replica because another replica can be completed sooner with its members, or
   * because it moves to another fabric domain.
   *
   * @param replica the replica, not null
   */
  record Dissolve(ReplicaId replica) implements RepairAction {

    /** Validates the component. */
    public Dissolve {
      Objects.requireNonNull(replica, "replica");
    }
  }

  /**
   * Starts the load of a member. The caller confirms its completion with {@link
   * RepairEvent.LoadFinished}.
   *
   * @param replica the replica, not null
   * @param member the member, not null
   */
  record StartLoad(ReplicaId replica, InstanceId member) implements RepairAction {

    /** Validates the components. */
    public StartLoad {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(member, "member");
    }
  }
}
