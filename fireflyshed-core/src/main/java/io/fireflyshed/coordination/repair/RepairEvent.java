package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;

/** An event that a {@link RepairPlanner} handles. */
public sealed interface RepairEvent {

  /**
   * Returns the monotonic clock reading at the event.
   *
   * @return the reading, in nanoseconds
   */
  long nowNanos();

  /**
   * Reports a new instance that is healthy and in no replica.
   *
   * @param instance the instance, not null
   * @param domain its fabric domain, not null
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record InstanceAdded(InstanceId instance, FabricDomain domain, long nowNanos)
      implements RepairEvent {

    /** Validates the components. */
    public InstanceAdded {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(domain, "domain");
    }
  }

  /**
   * Reports that an instance has stopped answering, temporarily or permanently.
   *
   * @param instance the instance, not null
   * @param isPermanent whether the instance is known not to come back with its weights, so that
   *     there is no point in waiting for it
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record InstanceLost(InstanceId instance, boolean isPermanent, long nowNanos)
      implements RepairEvent {

    /** Validates the components. */
    public InstanceLost {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Reports that a lost instance answers again.
   *
   * @param instance the instance, not null
   * @param isLoaded whether the instance still holds the weights that it held before
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record InstanceReturned(InstanceId instance, boolean isLoaded, long nowNanos)
      implements RepairEvent {

    /** Validates the components. */
    public InstanceReturned {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Reports that a member holds the weights of its replica.
   *
   * @param instance the instance, not null
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record LoadFinished(InstanceId instance, long nowNanos) implements RepairEvent {

    /** Validates the components. */
    public LoadFinished {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Reports that a member is up but does not hold the weights of its replica.
   *
   * @param instance the instance, not null
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record MemberUnloaded(InstanceId instance, long nowNanos) implements RepairEvent {

    /** Validates the components. */
    public MemberUnloaded {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Requests a replica. It is formed once a fabric domain has enough free instances.
   *
   * @param replica the replica, not null
   * @param size the number of instances of the replica, 1 or more
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record ReplicaWanted(ReplicaId replica, int size, long nowNanos) implements RepairEvent {

    /** Validates the components. */
    public ReplicaWanted {
      Objects.requireNonNull(replica, "replica");
      if (size < 1) {
        throw new IllegalArgumentException("size must be positive: " + size);
      }
    }
  }

  /**
   * Withdraws the request for a replica; its members become free.
   *
   * @param replica the replica, not null
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record ReplicaUnwanted(ReplicaId replica, long nowNanos) implements RepairEvent {

    /** Validates the components. */
    public ReplicaUnwanted {
      Objects.requireNonNull(replica, "replica");
    }
  }

  /**
   * Reports the members of a replica according to its stored assignment.
   *
   * <p>The event confirms a {@link RepairAction.SetMembers}, or restores a replica that an earlier
   * coordinator formed. A replica that was not wanted before is wanted from then on, and nothing is
   * repaired until the next event in its fabric domain.
   *
   * @param replica the replica, not null
   * @param members the members in order, all of which were added before, copied, not null
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record ReplicaFormed(ReplicaId replica, List<InstanceId> members, long nowNanos)
      implements RepairEvent {

    /** Validates the components and copies the members. */
    public ReplicaFormed {
      Objects.requireNonNull(replica, "replica");
      members = List.copyOf(members);
    }
  }

  /**
   * Reports that time has passed.
   *
   * @param nowNanos the monotonic clock reading at the event, in nanoseconds
   */
  record TimePassed(long nowNanos) implements RepairEvent {}
}
