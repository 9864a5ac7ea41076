package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeSet;

/**
 * Plans the formation and repair of replicas, one event at a time.
 *
 * <p>The planner waits for a lost member for as long as {@link OutageHistory} determines, then
 * replaces it with a free instance of its fabric domain. The recent waits for a flapping instance
 * add up to no more than the cost of replacing it, and a flapping instance becomes a replacement
 * only after it has stayed up for a while. If the domain has too few free instances, the replica
 * with the fewest missing members takes members from the one with the most. Loads start in the
 * order of {@link LoadQueue}. The time to handle an event is proportional to the number of
 * incomplete replicas in its fabric domain, not to the number of all replicas.
 *
 * <p>The planner reads no clock and does no I/O. Not thread safe.
 *
 * <pre>{@code
 * RepairPlanner planner = new RepairPlanner(RepairSettings.of(RepairWeights.ofHarwood()));
 * planner.handle(new RepairEvent.ReplicaWanted(replica, 4, clock.nanoTime()));
 * for (RepairAction action : planner.handle(event)) {
 *   apply(action);
 * }
 * }</pre>
 */
public final class RepairPlanner {

  private static final double NANOS_PER_SECOND = 1e9;

  private static final Comparator<TrackedReplica> FEWEST_MISSING_FIRST =
      Comparator.comparingInt(TrackedReplica::countMissing)
          .thenComparingLong(r -> r.incompleteSinceNanos)
          .thenComparing(r -> r.id);

  private static final Comparator<TrackedReplica> LONGEST_WANTED_FIRST =
      Comparator.<TrackedReplica>comparingLong(r -> r.incompleteSinceNanos)
          .thenComparing(r -> r.id);

  private final RepairSettings settings;
  private final double replacementCostSeconds;
  private final OutageHistory history;
  private final LoadQueue loadQueue;
  private final Map<InstanceId, TrackedInstance> instances = new HashMap<>();
  private final Map<ReplicaId, TrackedReplica> replicas = new HashMap<>();
  private final Map<FabricDomain, TrackedDomain> domains = new HashMap<>();
  private final TreeSet<TrackedReplica> unplaced = new TreeSet<>(LONGEST_WANTED_FIRST);
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanos));

  /**
   * Creates a planner without instances, replicas or recorded outages.
   *
   * @param settings the settings, not null
   */
  public RepairPlanner(RepairSettings settings) {
    this(settings, new OutageHistory());
  }

  /**
   * Creates a planner without instances or replicas.
   *
   * @param settings the settings, not null
   * @param history the past outages, to which the planner adds, not null
   */
  public RepairPlanner(RepairSettings settings, OutageHistory history) {
    this.history = Objects.requireNonNull(history, "history");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.loadQueue = new LoadQueue(settings.loadSlots());
    long replacementNanos = settings.releaseTime().plus(settings.loadTime()).toNanos();
    this.replacementCostSeconds = replacementNanos / NANOS_PER_SECOND;
  }

  /**
   * Handles one event.
   *
   * @param event the event, not null; one that names an unknown instance or replica is ignored
   * @return the actions in the order in which to apply them, never null
   */
  public List<RepairAction> handle(RepairEvent event) {
    List<RepairAction> actions = new ArrayList<>();
    long now = event.nowNanos();
    if (event instanceof RepairEvent.InstanceAdded added) {
      onAdded(added, actions);
    } else if (event instanceof RepairEvent.InstanceLost lost) {
      onLost(lost, actions);
    } else if (event instanceof RepairEvent.InstanceReturned returned) {
      onReturned(returned, actions);
    } else if (event instanceof RepairEvent.LoadFinished finished) {
      onLoaded(finished);
    } else if (event instanceof RepairEvent.MemberUnloaded unloaded) {
      onUnloaded(unloaded);
    } else if (event instanceof RepairEvent.ReplicaWanted wanted) {
      onWanted(wanted, actions);
    } else if (event instanceof RepairEvent.ReplicaUnwanted unwanted) {
      onUnwanted(unwanted, actions);
    } else if (event instanceof RepairEvent.ReplicaFormed formed) {
      onFormed(formed, actions);
    }
    runTimers(now, actions);
    loadQueue.startLoads(actions);
    return actions;
  }

  /**
   * Returns when the planner needs the next {@link RepairEvent.TimePassed} at the latest.
   *
   * @return the monotonic clock reading, in nanoseconds, empty if no decision depends on time
   */
  public OptionalLong getNextDeadlineNanos() {
    Timer next = timers.peek();
    return next == null ? OptionalLong.empty() : OptionalLong.of(next.dueNanos());
  }

  /**
   * Tests whether the members of a replica are confirmed and all of them are up and loaded.
   *
   * @param replica the replica, not null
   * @return true if the replica is known and complete
   */
  public boolean isComplete(ReplicaId replica) {
    TrackedReplica tracked = replicas.get(replica);
    return tracked != null && tracked.isComplete();
  }

  /**
   * Returns the planned members of a replica.
   *
   * @param replica the replica, not null
   * @return the members in order, empty if the replica is unknown or a position has no instance,
   *     never null
   */
  public List<InstanceId> getMembers(ReplicaId replica) {
    TrackedReplica tracked = replicas.get(replica);
    return tracked == null || !tracked.isFullyAssigned() ? List.of() : tracked.getMemberIds();
  }

  /**
   * Returns the replica to which the plan assigns an instance.
   *
   * @param instance the instance, not null
   * @return the replica, empty if the instance is unknown or unassigned, never null
   */
  public Optional<ReplicaId> getReplica(InstanceId instance) {
    TrackedInstance tracked = instances.get(instance);
    return tracked == null || tracked.replica == null
        ? Optional.empty()
        : Optional.of(tracked.replica.id);
  }

  /**
   * Tests whether an instance holds the weights of its replica according to the events so far.
   *
   * @param instance the instance, not null
   * @return true if the instance is a member and loaded
   */
  public boolean isLoaded(InstanceId instance) {
    TrackedInstance tracked = instances.get(instance);
    return tracked != null && tracked.replica != null && tracked.isLoaded;
  }

  /**
   * Tests whether an instance occupies a load slot.
   *
   * @param instance the instance, not null
   * @return true from {@link RepairAction.StartLoad} until the load finishes or is canceled
   */
  public boolean isLoading(InstanceId instance) {
    TrackedInstance tracked = instances.get(instance);
    return tracked != null && tracked.isLoading;
  }

  /**
   * Returns the number of instances that are in no replica and not unstable.
   *
   * @param domain the fabric domain, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return the number of instances, 0 or more
   */
  public int getFreeCount(FabricDomain domain, long nowNanos) {
    TrackedDomain tracked = domains.get(domain);
    return tracked == null ? 0 : tracked.getUsableInstances(nowNanos).size();
  }

  private void onAdded(RepairEvent.InstanceAdded event, List<RepairAction> actions) {
    if (instances.containsKey(event.instance())) {
      return;
    }
    TrackedDomain domain = domains.computeIfAbsent(event.domain(), TrackedDomain::new);
    TrackedInstance instance = new TrackedInstance(event.instance(), domain);
    instances.put(instance.id, instance);
    domain.free.add(instance);
    repairDomain(domain, event.nowNanos(), actions);
  }

  private void onLost(RepairEvent.InstanceLost event, List<RepairAction> actions) {
    TrackedInstance instance = instances.get(event.instance());
    if (instance == null) {
      return;
    }
    long now = event.nowNanos();
    instance.isPermanentlyLost |= event.isPermanent();
    if (instance.isUp) {
      instance.markLost(now, settings);
      instance.domain.free.remove(instance);
      loadQueue.endLoad(instance);
      if (instance.replica != null) {
        markIncomplete(instance.replica, now);
      }
    }
    repairDomain(instance.domain, now, actions);
  }

  private void onReturned(RepairEvent.InstanceReturned event, List<RepairAction> actions) {
    TrackedInstance instance = instances.get(event.instance());
    if (instance == null || instance.isUp) {
      return;
    }
    long now = event.nowNanos();
    if (event.isLoaded()) {
      history.recordTransientOutage((now - instance.downSinceNanos) / NANOS_PER_SECOND);
    } else {
      history.recordPermanentOutage();
      instance.isLoaded = false;
    }
    instance.markUp(now, settings);
    if (instance.replica == null) {
      instance.domain.free.add(instance);
      if (instance.isUnstable(now)) {
        addTimer(instance.getUnstableUntilNanos(), instance.domain);
      }
    } else {
      update(instance.replica);
    }
    repairDomain(instance.domain, now, actions);
  }

  private void onLoaded(RepairEvent.LoadFinished event) {
    TrackedInstance instance = instances.get(event.instance());
    if (instance == null || !instance.isUp) {
      return;
    }
    loadQueue.endLoad(instance);
    instance.isLoaded = true;
    if (instance.replica != null) {
      update(instance.replica);
    }
  }

  private void onUnloaded(RepairEvent.MemberUnloaded event) {
    TrackedInstance instance = instances.get(event.instance());
    if (instance != null && instance.isUp && instance.replica != null) {
      markUnloaded(instance);
      update(instance.replica);
    }
  }

  private void onWanted(RepairEvent.ReplicaWanted event, List<RepairAction> actions) {
    if (replicas.containsKey(event.replica())) {
      return;
    }
    TrackedReplica replica = new TrackedReplica(event.replica(), event.size(), event.nowNanos());
    replicas.put(replica.id, replica);
    unplaced.add(replica);
    domains.values().stream()
        .max(
            Comparator.<TrackedDomain>comparingInt(d -> d.free.size())
                .thenComparing(d -> d.id, Comparator.reverseOrder()))
        .ifPresent(d -> repairDomain(d, event.nowNanos(), actions));
  }

  private void onUnwanted(RepairEvent.ReplicaUnwanted event, List<RepairAction> actions) {
    TrackedReplica replica = replicas.remove(event.replica());
    if (replica == null) {
      return;
    }
    unplaced.remove(replica);
    TrackedDomain domain = replica.domain;
    releaseAll(replica);
    if (domain != null) {
      repairDomain(domain, event.nowNanos(), actions);
    }
  }

  private void onFormed(RepairEvent.ReplicaFormed event, List<RepairAction> actions) {
    boolean isNew = !replicas.containsKey(event.replica());
    TrackedReplica replica =
        replicas.computeIfAbsent(
            event.replica(),
            id -> new TrackedReplica(id, event.members().size(), event.nowNanos()));
    if (event.members().size() != replica.members.length) {
      return;
    }
    if (!replica.isFullyAssigned() || !replica.getMemberIds().equals(event.members())) {
      restore(replica, event);
    }
    replica.isUnconfirmed = false;
    update(replica);
    if (replica.domain != null && !isNew) {
      repairDomain(replica.domain, event.nowNanos(), actions);
    }
  }

  private void restore(TrackedReplica replica, RepairEvent.ReplicaFormed event) {
    List<TrackedInstance> members = event.members().stream().map(instances::get).toList();
    boolean isAssignable =
        members.stream().allMatch(m -> m != null && (m.replica == null || m.replica == replica));
    if (!isAssignable) {
      if (replica.domain == null) {
        unplaced.add(replica);
      }
      return;
    }
    releaseAll(replica);
    unplaced.remove(replica);
    replica.domain = members.get(0).domain;
    for (int i = 0; i < members.size(); i++) {
      TrackedInstance member = members.get(i);
      assign(replica, i, member);
      member.isLoaded = !member.isUp;
    }
  }

  /**
   * Repairs all replicas of a domain that can be repaired, those with the fewest missing members
   * first, then places other replicas in the domain.
   */
  private void repairDomain(TrackedDomain domain, long now, List<RepairAction> actions) {
    while (!domain.incomplete.isEmpty() && repairNext(domain, now, actions)) {
      // Each iteration repairs one replica, which changes the instances that the next one may take.
    }
    placeReplicas(domain, now, actions);
  }

  private boolean repairNext(TrackedDomain domain, long now, List<RepairAction> actions) {
    List<TrackedReplica> candidates =
        domain.incomplete.stream()
            .filter(r -> isRepairDue(r, now))
            .sorted(FEWEST_MISSING_FIRST)
            .toList();
    if (candidates.isEmpty()) {
      return false;
    }
    TrackedReplica first = candidates.get(0);
    List<TrackedInstance> replacements = domain.getUsableInstances(now);
    int missing = first.countMissing() - replacements.size();
    for (int i = candidates.size() - 1; i > 0 && missing > 0; i--) {
      List<TrackedInstance> up = candidates.get(i).getUpMembers();
      int count = Math.min(missing, up.size());
      replacements.addAll(up.subList(up.size() - count, up.size()));
      missing -= count;
    }
    if (missing > 0) {
      return false;
    }
    assignReplacements(first, replacements, actions);
    return true;
  }

  private boolean isRepairDue(TrackedReplica replica, long now) {
    for (TrackedInstance member : replica.members) {
      if (member != null && !member.isUp && !isWaitOver(member, now)) {
        return false;
      }
    }
    return true;
  }

  private boolean isWaitOver(TrackedInstance member, long now) {
    if (member.isPermanentlyLost || !member.isLoaded) {
      return true;
    }
    double budgetNanos = replacementCostSeconds * NANOS_PER_SECOND - member.getRecentDownNanos();
    long due =
        member.downSinceNanos + (long) Math.max(0, Math.min(getWaitLimitNanos(), budgetNanos));
    if (now - due >= 0) {
      return true;
    }
    if (member.lastTimerNanos != due) {
      member.lastTimerNanos = due;
      addTimer(due, member.domain);
    }
    return false;
  }

  private void assignReplacements(
      TrackedReplica replica, List<TrackedInstance> replacements, List<RepairAction> actions) {
    int next = 0;
    for (int i = 0; i < replica.members.length; i++) {
      TrackedInstance member = replica.members[i];
      if (member == null || !member.isUp) {
        release(replica, i);
        TrackedInstance replacement = replacements.get(next);
        next++;
        if (replacement.replica != null) {
          removeFromReplica(replacement, actions);
        }
        assign(replica, i, replacement);
      }
    }
    markUnconfirmed(replica);
    actions.add(new RepairAction.SetMembers(replica.id, replica.getMemberIds()));
  }

  private void removeFromReplica(TrackedInstance replacement, List<RepairAction> actions) {
    TrackedReplica source = replacement.replica;
    RepairAction dissolve = new RepairAction.Dissolve(source.id);
    if (!actions.contains(dissolve)) {
      actions.add(dissolve);
    }
    release(source, replacement.position);
    markUnconfirmed(source);
  }

  private void markUnconfirmed(TrackedReplica replica) {
    replica.isUnconfirmed = true;
    if (!settings.isWeightKept()) {
      replica.getUpMembers().forEach(this::markUnloaded);
    }
    update(replica);
  }

  private void markUnloaded(TrackedInstance instance) {
    loadQueue.endLoad(instance);
    instance.isLoaded = false;
  }

  /**
   * Places unplaced replicas, and replicas that their own domain cannot repair, in a domain with
   * enough usable instances.
   */
  private void placeReplicas(TrackedDomain domain, long now, List<RepairAction> actions) {
    List<TrackedInstance> usable = domain.getUsableInstances(now);
    Iterator<TrackedReplica> waiting = unplaced.iterator();
    while (!usable.isEmpty() && waiting.hasNext()) {
      TrackedReplica replica = waiting.next();
      if (usable.size() >= replica.members.length) {
        waiting.remove();
        replica.domain = domain;
        assignReplacements(replica, usable, actions);
        usable = domain.getUsableInstances(now);
      }
    }
    moveUnrepairable(domain, now, actions);
  }

  private void moveUnrepairable(TrackedDomain domain, long now, List<RepairAction> actions) {
    List<TrackedInstance> usable = domain.getUsableInstances(now);
    for (TrackedDomain other : usable.size() > 1 ? domains.values() : List.<TrackedDomain>of()) {
      for (TrackedReplica replica :
          other == domain ? List.<TrackedReplica>of() : copyOfIncomplete(other)) {
        if (usable.size() >= replica.members.length && isRepairDue(replica, now)) {
          actions.add(new RepairAction.Dissolve(replica.id));
          releaseAll(replica);
          replica.domain = domain;
          assignReplacements(replica, usable, actions);
          usable = domain.getUsableInstances(now);
          addTimer(now, other);
        }
      }
    }
  }

  private static List<TrackedReplica> copyOfIncomplete(TrackedDomain domain) {
    return List.copyOf(domain.incomplete);
  }

  private void releaseAll(TrackedReplica replica) {
    for (int i = 0; i < replica.members.length; i++) {
      release(replica, i);
    }
    loadQueue.remove(replica);
    if (replica.domain != null) {
      replica.domain.incomplete.remove(replica);
      replica.domain = null;
    }
  }

  private void release(TrackedReplica replica, int position) {
    TrackedInstance member = replica.members[position];
    if (member == null) {
      return;
    }
    markUnloaded(member);
    replica.members[position] = null;
    member.replica = null;
    if (member.isUp) {
      member.domain.free.add(member);
    }
  }

  private void assign(TrackedReplica replica, int position, TrackedInstance instance) {
    instance.domain.free.remove(instance);
    instance.replica = replica;
    instance.position = position;
    replica.members[position] = instance;
  }

  private void markIncomplete(TrackedReplica replica, long now) {
    if (replica.domain.incomplete.isEmpty() || !replica.domain.incomplete.contains(replica)) {
      replica.incompleteSinceNanos = now;
    }
    update(replica);
  }

  private void update(TrackedReplica replica) {
    loadQueue.update(replica);
    if (replica.domain != null) {
      if (replica.countMissing() > 0) {
        replica.domain.incomplete.add(replica);
      } else {
        replica.domain.incomplete.remove(replica);
      }
    }
  }

  private long getWaitLimitNanos() {
    return (long) (history.getWaitLimitSeconds(replacementCostSeconds) * NANOS_PER_SECOND);
  }

  private void addTimer(long dueNanos, TrackedDomain domain) {
    timers.add(new Timer(dueNanos, domain));
  }

  private void runTimers(long now, List<RepairAction> actions) {
    List<TrackedDomain> due = new ArrayList<>();
    while (!timers.isEmpty() && now - timers.peek().dueNanos() >= 0) {
      due.add(timers.poll().domain());
    }
    due.stream().distinct().forEach(d -> repairDomain(d, now, actions));
  }

  private record Timer(long dueNanos, TrackedDomain domain) {}
}
