package io.fireflyshed.state.replica;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;

/**
 * The assignment of instances to one replica at one generation.
 *
 * @param id the replica, not null
 * @param service the model service that the replica serves, not null
 * @param generation the generation, 1 or more; it increases with each change of the members
 * @param members the members without duplicates, the first of which receives the requests; copied,
 *     not null, not empty
 */
public record Assignment(
    ReplicaId id, ServiceName service, long generation, List<InstanceRecord> members) {

  /** Validates the components and copies the members. */
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
      throw new IllegalArgumentException("members must not contain duplicates");
    }
  }

  /**
   * Returns the member that receives the requests for the replica.
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
    return members.stream().anyMatch(member -> member.id().equals(instance));
  }
}
