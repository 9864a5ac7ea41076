package io.fireflyshed.coordination.drain;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Unites the signs that an instance leaves: the platform's list, the engine's own word, the
 * operator's order and the notices of peers.
 *
 * <p>The list and the operator count for as long as they say so. Every sign but the operator's also
 * marks the run of the instance, by its boot id, and the mark stays until the boot id changes. A
 * replica with a leaving member drains whole. Not thread safe; belongs to the control thread.
 */
public final class DrainTracker {

  private final Map<InstanceId, BootId> boots = new HashMap<>();
  private final Map<InstanceId, BootId> markedBoots = new HashMap<>();
  private final Set<InstanceId> markedUnknownBoots = new HashSet<>();
  private Set<InstanceId> listedLeaving = Set.of();
  private DrainOrders orders = DrainOrders.ofNothing();

  /**
   * Takes in the platform's list.
   *
   * @param instances the listed instances, not null
   * @return the instances that leave and did not before, never null
   */
  public Set<InstanceId> onList(List<InstanceRecord> instances) {
    Set<InstanceId> leaving = new HashSet<>();
    Set<InstanceId> first = new HashSet<>();
    for (InstanceRecord instance : instances) {
      if (instance.leaving()) {
        leaving.add(instance.id());
        if (!listedLeaving.contains(instance.id())) {
          if (!isMarked(instance.id())) {
            first.add(instance.id());
          }
          mark(instance.id(), Optional.empty());
        }
      }
    }
    listedLeaving = Set.copyOf(leaving);
    return first;
  }

  /**
   * Takes in the operators' orders.
   *
   * @param drains the orders, not null
   */
  public void onOrders(DrainOrders drains) {
    orders = Objects.requireNonNull(drains, "drains");
  }

  /**
   * Takes in what an engine says of itself.
   *
   * @param health the answer to a probe, not null
   * @return true if the instance leaves and did not before
   */
  public boolean onHealth(MemberHealth health) {
    boolean wasMarked = isMarked(health.instance());
    boots.put(health.instance(), health.boot());
    if (markedUnknownBoots.remove(health.instance())) {
      markedBoots.put(health.instance(), health.boot());
    }
    if (health.isLeaving()) {
      markedBoots.put(health.instance(), health.boot());
    }
    return !wasMarked && isMarked(health.instance());
  }

  /**
   * Takes in a peer's notice that an instance leaves.
   *
   * @param instance the instance, not null
   * @param boot the boot id that the peer saw, empty if none, not null
   */
  public void onNotice(InstanceId instance, Optional<BootId> boot) {
    mark(instance, boot);
  }

  private void mark(InstanceId instance, Optional<BootId> boot) {
    Optional<BootId> known = boot.or(() -> Optional.ofNullable(boots.get(instance)));
    if (known.isPresent()) {
      markedBoots.put(instance, known.get());
    } else {
      markedUnknownBoots.add(instance);
    }
  }

  private boolean isMarked(InstanceId instance) {
    if (markedUnknownBoots.contains(instance)) {
      return true;
    }
    BootId marked = markedBoots.get(instance);
    BootId current = boots.get(instance);
    return marked != null && (current == null || current.equals(marked));
  }

  /**
   * Gets the boot id that an instance named last.
   *
   * @param instance the instance, not null
   * @return the boot id, or empty if the instance has not answered yet
   */
  public Optional<BootId> getBoot(InstanceId instance) {
    return Optional.ofNullable(boots.get(instance));
  }

  /**
   * Tests whether an instance leaves.
   *
   * @param instance the instance, not null
   * @return true if any sign says so
   */
  public boolean isLeaving(InstanceRecord instance) {
    return listedLeaving.contains(instance.id())
        || orders.isDrained(instance)
        || isMarked(instance.id());
  }

  /**
   * Tests whether a replica drains.
   *
   * @param assignment the replica, not null
   * @return true if any member leaves
   */
  public boolean isDraining(Assignment assignment) {
    return assignment.members().stream().anyMatch(this::isLeaving);
  }

  /**
   * Forgets the instances that are no longer listed.
   *
   * @param listed the instances to keep, not null
   */
  public void retain(Set<InstanceId> listed) {
    boots.keySet().retainAll(listed);
    markedBoots.keySet().retainAll(listed);
    markedUnknownBoots.retainAll(listed);
  }
}
