package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.List;
import java.util.Objects;

/** An action that a {@link ReplicaPlanner} proposes. */
public sealed interface PlanAction {

  /**
   * Forms a replica from free instances. The caller gives it a generation above all earlier ones of
   * its id. An id may be reused once its earlier replica is dissolved.
   *
   * @param replica the id, not null
   * @param service the model service, not null
   * @param model the model version, not null
   * @param members the members in order, the head first, all in one fabric domain, copied, not null
   */
  record FormReplica(
      ReplicaId replica, ServiceName service, String model, List<InstanceRecord> members)
      implements PlanAction {

    /** Validates the components and copies the members. */
    public FormReplica {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(model, "model");
      members = List.copyOf(members);
    }
  }

  /**
   * Stops a replica from serving and releases its members when no entry can use them any more.
   *
   * @param replica the id, not null
   * @param generation the generation on which the planner based the action, 1 or more
   * @param cause the reason, not null
   */
  record DissolveReplica(ReplicaId replica, long generation, DissolveCause cause)
      implements PlanAction {

    /** Validates the components. */
    public DissolveReplica {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(cause, "cause");
    }
  }

  /**
   * Moves a replica to a new generation that runs another model version on the same members. The
   * replica does not serve until all members have loaded the new version.
   *
   * @param replica the id, not null
   * @param generation the generation on which the planner based the action, 1 or more
   * @param model the new model version, not null
   */
  record ChangeModel(ReplicaId replica, long generation, String model) implements PlanAction {

    /** Validates the components. */
    public ChangeModel {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(model, "model");
    }
  }

  /**
   * Orders a member to load the model of its replica. Members load only on this action, so the
   * planner controls the order and the rate of loads.
   *
   * @param replica the id, not null
   * @param generation the generation on which the planner based the action, 1 or more
   * @param member the member, not null
   */
  record LoadMember(ReplicaId replica, long generation, InstanceId member) implements PlanAction {

    /** Validates the components. */
    public LoadMember {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(member, "member");
    }
  }

  /**
   * Releases a free instance that no service needs, not even as a spare. The caller orders its
   * engine to unload.
   *
   * @param instance the instance, not null
   */
  record ReleaseInstance(InstanceId instance) implements PlanAction {

    /** Validates the component. */
    public ReleaseInstance {
      Objects.requireNonNull(instance, "instance");
    }
  }
}
