package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.List;
import java.util.Objects;

/** Names one step that a {@link ReplicaPlanner} proposes. */
public sealed interface PlanAction {

  /**
   * Forms a replica of free instances. The caller gives it a generation above all earlier ones of
   * its id; an id may be used again when its earlier replica is dissolved.
   *
   * @param replica the id, not null
   * @param service the model service, not null
   * @param model the model version, not null
   * @param members the members in their order, the head first, all of one fabric domain, copied,
   *     not null
   */
  record FormReplica(
      ReplicaId replica, ServiceName service, String model, List<InstanceRecord> members)
      implements PlanAction {

    /** Checks the parts and copies the members. */
    public FormReplica {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(model, "model");
      members = List.copyOf(members);
    }
  }

  /**
   * Closes a replica and frees its members when no entry can still use them.
   *
   * @param replica the id, not null
   * @param generation the generation that the planner saw, 1 or more
   * @param cause why, not null
   */
  record DissolveReplica(ReplicaId replica, long generation, DissolveCause cause)
      implements PlanAction {

    /** Checks the parts of the record. */
    public DissolveReplica {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(cause, "cause");
    }
  }

  /**
   * Moves a replica with the same members to a new generation that runs another model version. It
   * does not serve from then on until all members have loaded the version.
   *
   * @param replica the id, not null
   * @param generation the generation that the planner saw, 1 or more
   * @param model the new model version, not null
   */
  record ChangeModel(ReplicaId replica, long generation, String model) implements PlanAction {

    /** Checks the parts of the record. */
    public ChangeModel {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(model, "model");
    }
  }

  /**
   * Orders a member to load the model of its replica. Without this action nothing is loaded, so the
   * planner sets the order and the rate of loads.
   *
   * @param replica the id, not null
   * @param generation the generation that the planner saw, 1 or more
   * @param member the member, not null
   */
  record LoadMember(ReplicaId replica, long generation, InstanceId member) implements PlanAction {

    /** Checks the parts of the record. */
    public LoadMember {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(member, "member");
    }
  }

  /**
   * Gives a free instance back, because no service needs it, not even as a spare. The caller orders
   * its engine to unload.
   *
   * @param instance the instance, not null
   */
  record ReleaseInstance(InstanceId instance) implements PlanAction {

    /** Checks the part of the record. */
    public ReleaseInstance {
      Objects.requireNonNull(instance, "instance");
    }
  }
}
