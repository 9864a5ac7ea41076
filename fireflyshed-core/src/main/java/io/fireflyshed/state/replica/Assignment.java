package io.fireflyshed.state.replica;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;

/**
 * Assigns instances to one replica at one generation.
 *
 * @param id the replica, not null
 * @param service the model service that the replica serves, not null
 * @param generation the generation; each change of members raises it, 1 or more
 * @param members the members, the first of which takes requests; not null, not empty, no repeats
 */
public record Assignment(
    ReplicaId id, ServiceName service, long generation, List<InstanceRecord> members) {

  /** Checks the parts and copies the members. */
  public Assignment {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    if (generation < 1) {
      throw new IllegalArgumentException("generation must be positive: " + generation);
    }
    members = List.copyOf(members);
    if (members.isEmpty()) {
      throw new IllegalArgumentException("members must not be empty");
    }
    if (new HashSet<>(members.stream().map(InstanceRecord::id).toList()).size() != members.size()) {
      throw new IllegalArgumentException("members must not repeat");
    }
  }

  /**
   * Gets the member that takes requests for the replica.
   *
   * @return the head, never null
   */
  public InstanceRecord getHead() {
    return members.get(0);
  }

  /**
   * Tests whether an instance is a member.
   *
   * @param instance the instance, not null
   * @return true if it is a member
   */
  public boolean isMember(InstanceId instance) {
    return members.stream().anyMatch(m -> m.id().equals(instance));
  }
}
