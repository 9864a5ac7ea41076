package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;

/** Names what a {@link RepairPlanner} is told. Each event carries a reading of the clock. */
public sealed interface RepairEvent {

  /**
   * Gets the reading of the monotonic clock at the event.
   *
   * @return the reading, in nanoseconds
   */
  long nowNanos();

  /**
   * Tells of an instance that is healthy and in no replica.
   *
   * @param instance the instance, not null
   * @param domain its fabric domain, not null
   * @param nowNanos the reading of the clock
   */
  record InstanceAdded(InstanceId instance, FabricDomain domain, long nowNanos)
      implements RepairEvent {

    /** Checks the parts of the record. */
    public InstanceAdded {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(domain, "domain");
    }
  }

  /**
   * Tells that an instance does not answer, for now or for good.
   *
   * @param instance the instance, not null
   * @param isGone whether it is known not to come back with its weights, so that waiting is vain
   * @param nowNanos the reading of the clock
   */
  record InstanceLost(InstanceId instance, boolean isGone, long nowNanos) implements RepairEvent {

    /** Checks the parts of the record. */
    public InstanceLost {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Tells that a lost instance answers again.
   *
   * @param instance the instance, not null
   * @param isLoaded whether it still holds the weights that it held before
   * @param nowNanos the reading of the clock
   */
  record InstanceReturned(InstanceId instance, boolean isLoaded, long nowNanos)
      implements RepairEvent {

    /** Checks the parts of the record. */
    public InstanceReturned {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Tells that a member holds the weights of its replica.
   *
   * @param instance the instance, not null
   * @param nowNanos the reading of the clock
   */
  record LoadFinished(InstanceId instance, long nowNanos) implements RepairEvent {

    /** Checks the parts of the record. */
    public LoadFinished {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Tells that a member that is up lacks the weights of its replica.
   *
   * @param instance the instance, not null
   * @param nowNanos the reading of the clock
   */
  record MemberUnloaded(InstanceId instance, long nowNanos) implements RepairEvent {

    /** Checks the parts of the record. */
    public MemberUnloaded {
      Objects.requireNonNull(instance, "instance");
    }
  }

  /**
   * Tells that a replica is wanted. It is formed when a domain has enough free instances.
   *
   * @param replica the replica, not null
   * @param size the number of its instances, 1 or more
   * @param nowNanos the reading of the clock
   */
  record ReplicaWanted(ReplicaId replica, int size, long nowNanos) implements RepairEvent {

    /** Checks the parts of the record. */
    public ReplicaWanted {
      Objects.requireNonNull(replica, "replica");
      if (size < 1) {
        throw new IllegalArgumentException("size must be positive: " + size);
      }
    }
  }

  /**
   * Tells that a replica is wanted no longer; its members become free.
   *
   * @param replica the replica, not null
   * @param nowNanos the reading of the clock
   */
  record ReplicaUnwanted(ReplicaId replica, long nowNanos) implements RepairEvent {

    /** Checks the parts of the record. */
    public ReplicaUnwanted {
      Objects.requireNonNull(replica, "replica");
    }
  }

  /**
   * Tells of the members that a replica has by its stored assignment.
   *
   * <p>It confirms a {@link RepairAction.SetMembers}, or restores a replica that an earlier
   * coordinator formed. A replica that was not wanted before is wanted from then on, and nothing is
   * repaired until the next event of its domain.
   *
   * @param replica the replica, not null
   * @param members the members in their order, all added before, copied, not null
   * @param nowNanos the reading of the clock
   */
  record ReplicaFormed(ReplicaId replica, List<InstanceId> members, long nowNanos)
      implements RepairEvent {

    /** Checks the parts and copies the members. */
    public ReplicaFormed {
      Objects.requireNonNull(replica, "replica");
      members = List.copyOf(members);
    }
  }

  /**
   * Tells that time has passed.
   *
   * @param nowNanos the reading of the clock
   */
  record TimePassed(long nowNanos) implements RepairEvent {}
}
