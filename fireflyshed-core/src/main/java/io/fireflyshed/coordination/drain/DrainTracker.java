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
 * Combines the signals that an instance is leaving: the platform's list, the answers of its engine,
 * the orders of operators and the notices of peers.
 *
 * <p>The list and the orders apply for as long as they report the instance as leaving. Every signal
 * except an order also marks the current run of the instance, identified by its boot id, and the
 * mark stays until the boot id changes. A replica drains as soon as one member is leaving. Not
 * thread safe; must be used on the control thread.
 */
public final class DrainTracker {

  private final Map<InstanceId, BootId> bootIds = new HashMap<>();
  private final Map<InstanceId, BootId> leavingBootIds = new HashMap<>();
  private final Set<InstanceId> leavingWithUnknownBootId = new HashSet<>();
  private Set<InstanceId> listedLeaving = Set.of();
  private DrainOrders orders = DrainOrders.ofNothing();

  /**
   * Replaces the platform's instance list.
   *
   * @param instances the listed instances, not null
   * @return the instances that are leaving and were not before, never null
   */
  public Set<InstanceId> onList(List<InstanceRecord> instances) {
    Set<InstanceId> leaving = new HashSet<>();
    Set<InstanceId> newlyLeaving = new HashSet<>();
    for (InstanceRecord instance : instances) {
      if (instance.leaving()) {
        leaving.add(instance.id());
        if (!listedLeaving.contains(instance.id())) {
          if (!isMarkedLeaving(instance.id())) {
            newlyLeaving.add(instance.id());
          }
          markLeaving(instance.id(), Optional.empty());
        }
      }
    }
    listedLeaving = Set.copyOf(leaving);
    return newlyLeaving;
  }

  /**
   * Replaces the orders of the operators.
   *
   * @param newOrders the orders, not null
   */
  public void onOrders(DrainOrders newOrders) {
    orders = Objects.requireNonNull(newOrders, "newOrders");
  }

  /**
   * Records the health that an engine reports.
   *
   * @param health the answer to a probe, not null
   * @return true if the instance is leaving and was not before
   */
  public boolean onHealth(MemberHealth health) {
    boolean wasMarkedLeaving = isMarkedLeaving(health.instance());
    bootIds.put(health.instance(), health.boot());
    if (leavingWithUnknownBootId.remove(health.instance())) {
      leavingBootIds.put(health.instance(), health.boot());
    }
    if (health.isLeaving()) {
      leavingBootIds.put(health.instance(), health.boot());
    }
    return !wasMarkedLeaving && isMarkedLeaving(health.instance());
  }

  /**
   * Records the notice of a peer that an instance is leaving.
   *
   * @param instance the instance, not null
   * @param boot the boot id that the peer saw, empty if it saw none, not null
   */
  public void onNotice(InstanceId instance, Optional<BootId> boot) {
    markLeaving(instance, boot);
  }

  private void markLeaving(InstanceId instance, Optional<BootId> boot) {
    Optional<BootId> bootId = boot.or(() -> Optional.ofNullable(bootIds.get(instance)));
    if (bootId.isPresent()) {
      leavingBootIds.put(instance, bootId.get());
    } else {
      leavingWithUnknownBootId.add(instance);
    }
  }

  private boolean isMarkedLeaving(InstanceId instance) {
    if (leavingWithUnknownBootId.contains(instance)) {
      return true;
    }
    BootId marked = leavingBootIds.get(instance);
    BootId current = bootIds.get(instance);
    return marked != null && (current == null || current.equals(marked));
  }

  /**
   * Returns the boot id that an instance reported last.
   *
   * @param instance the instance, not null
   * @return the boot id, or empty if the instance has not answered yet
   */
  public Optional<BootId> getBoot(InstanceId instance) {
    return Optional.ofNullable(bootIds.get(instance));
  }

  /**
   * Tests whether an instance is leaving.
   *
   * @param instance the instance, not null
   * @return true if any signal says so
   */
  public boolean isLeaving(InstanceRecord instance) {
    return listedLeaving.contains(instance.id())
        || orders.isDrained(instance)
        || isMarkedLeaving(instance.id());
  }

  /**
   * Tests whether a replica is draining.
   *
   * @param assignment the replica, not null
   * @return true if any member is leaving
   */
  public boolean isDraining(Assignment assignment) {
    return assignment.members().stream().anyMatch(this::isLeaving);
  }

  /**
   * Removes the state of all instances other than the given ones.
   *
   * @param listed the instances to keep, not null
   */
  public void retain(Set<InstanceId> listed) {
    bootIds.keySet().retainAll(listed);
    leavingBootIds.keySet().retainAll(listed);
    leavingWithUnknownBootId.retainAll(listed);
  }
}
