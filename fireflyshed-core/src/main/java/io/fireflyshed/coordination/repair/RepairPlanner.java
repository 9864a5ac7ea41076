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
 * Plans the forming and the repair of replicas, one event at a time.
 *
 * <p>A lost member is waited for as long as {@link OutageHistory} says and then replaced by a free
 * instance of its fabric domain. The recent waits for an instance that comes and goes add up to no
 * more than the price of replacing it, and it is taken as a replacement only after it stayed up for
 * a while. If the domain has none, the replica that lacks least takes members of the one that lacks
 * most. Loads start in the order of {@link LoadQueue}. An event costs time in proportion to the
 * broken replicas of its fabric domain, not to all replicas.
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

  private static final Comparator<ReplicaEntry> FEWEST_ABSENT_FIRST =
      Comparator.comparingInt(ReplicaEntry::getAbsent)
          .thenComparingLong(r -> r.brokenSinceNanos)
          .thenComparing(r -> r.id);

  private static final Comparator<ReplicaEntry> LONGEST_WANTED_FIRST =
      Comparator.<ReplicaEntry>comparingLong(r -> r.brokenSinceNanos).thenComparing(r -> r.id);

  private final RepairSettings settings;
  private final double priceSeconds;
  private final OutageHistory history;
  private final LoadQueue loads;
  private final Map<InstanceId, InstanceEntry> instances = new HashMap<>();
  private final Map<ReplicaId, ReplicaEntry> replicas = new HashMap<>();
  private final Map<FabricDomain, DomainEntry> domains = new HashMap<>();
  private final TreeSet<ReplicaEntry> unplaced = new TreeSet<>(LONGEST_WANTED_FIRST);
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanos));

  /**
   * Creates a planner that knows of nothing.
   *
   * @param settings the settings, not null
   */
  public RepairPlanner(RepairSettings settings) {
    this(settings, new OutageHistory());
  }

  /**
   * Creates a planner that knows only of past outages.
   *
   * @param settings the settings, not null
   * @param history what was learned of outages; the planner adds to it, not null
   */
  public RepairPlanner(RepairSettings settings, OutageHistory history) {
    this.history = Objects.requireNonNull(history, "history");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.loads = new LoadQueue(settings.loadSlots());
    long price = settings.releaseTime().plus(settings.loadTime()).toNanos();
    this.priceSeconds = price / NANOS_PER_SECOND;
  }

  /**
   * Handles one event.
   *
   * @param event the event, not null; one that names an unknown instance or replica is ignored
   * @return the actions in the order in which they are to be applied, never null
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
    loads.start(actions);
    return actions;
  }

  /**
   * Gets when the planner wants a {@link RepairEvent.TimePassed} at the latest.
   *
   * @return the reading of the clock, empty if no decision waits for time
   */
  public OptionalLong getNextDeadlineNanos() {
    Timer next = timers.peek();
    return next == null ? OptionalLong.empty() : OptionalLong.of(next.dueNanos());
  }

  /**
   * Tests whether all members of a replica are up and loaded, and its members are confirmed.
   *
   * @param replica the replica, not null
   * @return true if it is known and whole
   */
  public boolean isWhole(ReplicaId replica) {
    ReplicaEntry entry = replicas.get(replica);
    return entry != null && entry.isWhole();
  }

  /**
   * Gets the members that a replica has by the plan.
   *
   * @param replica the replica, not null
   * @return the members in their order, empty if the replica is unknown or lacks an instance, never
   *     null
   */
  public List<InstanceId> getMembers(ReplicaId replica) {
    ReplicaEntry entry = replicas.get(replica);
    return entry == null || !entry.isFull() ? List.of() : entry.getMemberIds();
  }

  /**
   * Gets the replica that an instance belongs to by the plan.
   *
   * @param instance the instance, not null
   * @return the replica, empty if the instance is unknown or in none, never null
   */
  public Optional<ReplicaId> getHolder(InstanceId instance) {
    InstanceEntry entry = instances.get(instance);
    return entry == null || entry.replica == null
        ? Optional.empty()
        : Optional.of(entry.replica.id);
  }

  /**
   * Tests whether an instance holds the weights of its replica by what the planner was told.
   *
   * @param instance the instance, not null
   * @return true if it is a member and loaded
   */
  public boolean isLoaded(InstanceId instance) {
    InstanceEntry entry = instances.get(instance);
    return entry != null && entry.replica != null && entry.isLoaded;
  }

  /**
   * Tests whether an instance may load now.
   *
   * @param instance the instance, not null
   * @return true from {@link RepairAction.StartLoad} until the load ends or is called off
   */
  public boolean isLoading(InstanceId instance) {
    InstanceEntry entry = instances.get(instance);
    return entry != null && entry.isLoading;
  }

  /**
   * Gets the number of usable instances that are in no replica.
   *
   * @param domain the fabric domain, not null
   * @param nowNanos the reading of the clock
   * @return the number, 0 or more
   */
  public int getFreeCount(FabricDomain domain, long nowNanos) {
    DomainEntry entry = domains.get(domain);
    return entry == null ? 0 : entry.getUsable(nowNanos).size();
  }

  private void onAdded(RepairEvent.InstanceAdded event, List<RepairAction> actions) {
    if (instances.containsKey(event.instance())) {
      return;
    }
    DomainEntry domain = domains.computeIfAbsent(event.domain(), DomainEntry::new);
    InstanceEntry instance = new InstanceEntry(event.instance(), domain);
    instances.put(instance.id, instance);
    domain.free.add(instance);
    repair(domain, event.nowNanos(), actions);
  }

  private void onLost(RepairEvent.InstanceLost event, List<RepairAction> actions) {
    InstanceEntry instance = instances.get(event.instance());
    if (instance == null) {
      return;
    }
    long now = event.nowNanos();
    instance.isGone |= event.isGone();
    if (instance.isUp) {
      instance.markLost(now, settings);
      instance.domain.free.remove(instance);
      loads.end(instance);
      if (instance.replica != null) {
        markBroken(instance.replica, now);
      }
    }
    repair(instance.domain, now, actions);
  }

  private void onReturned(RepairEvent.InstanceReturned event, List<RepairAction> actions) {
    InstanceEntry instance = instances.get(event.instance());
    if (instance == null || instance.isUp) {
      return;
    }
    long now = event.nowNanos();
    if (event.isLoaded()) {
      history.addPause((now - instance.outSinceNanos) / NANOS_PER_SECOND);
    } else {
      history.addLoss();
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
    repair(instance.domain, now, actions);
  }

  private void onLoaded(RepairEvent.LoadFinished event) {
    InstanceEntry instance = instances.get(event.instance());
    if (instance == null || !instance.isUp) {
      return;
    }
    loads.end(instance);
    instance.isLoaded = true;
    if (instance.replica != null) {
      update(instance.replica);
    }
  }

  private void onUnloaded(RepairEvent.MemberUnloaded event) {
    InstanceEntry instance = instances.get(event.instance());
    if (instance != null && instance.isUp && instance.replica != null) {
      unload(instance);
      update(instance.replica);
    }
  }

  private void onWanted(RepairEvent.ReplicaWanted event, List<RepairAction> actions) {
    if (replicas.containsKey(event.replica())) {
      return;
    }
    ReplicaEntry replica = new ReplicaEntry(event.replica(), event.size(), event.nowNanos());
    replicas.put(replica.id, replica);
    unplaced.add(replica);
    domains.values().stream()
        .max(
            Comparator.<DomainEntry>comparingInt(d -> d.free.size())
                .thenComparing(d -> d.id, Comparator.reverseOrder()))
        .ifPresent(d -> repair(d, event.nowNanos(), actions));
  }

  private void onUnwanted(RepairEvent.ReplicaUnwanted event, List<RepairAction> actions) {
    ReplicaEntry replica = replicas.remove(event.replica());
    if (replica == null) {
      return;
    }
    unplaced.remove(replica);
    DomainEntry domain = replica.domain;
    vacate(replica);
    if (domain != null) {
      repair(domain, event.nowNanos(), actions);
    }
  }

  private void onFormed(RepairEvent.ReplicaFormed event, List<RepairAction> actions) {
    boolean isNew = !replicas.containsKey(event.replica());
    ReplicaEntry replica =
        replicas.computeIfAbsent(
            event.replica(), id -> new ReplicaEntry(id, event.members().size(), event.nowNanos()));
    if (event.members().size() != replica.members.length) {
      return;
    }
    if (!replica.isFull() || !replica.getMemberIds().equals(event.members())) {
      restore(replica, event);
    }
    replica.isPending = false;
    update(replica);
    if (replica.domain != null && !isNew) {
      repair(replica.domain, event.nowNanos(), actions);
    }
  }

  private void restore(ReplicaEntry replica, RepairEvent.ReplicaFormed event) {
    List<InstanceEntry> members = event.members().stream().map(instances::get).toList();
    boolean isKnown =
        members.stream().allMatch(m -> m != null && (m.replica == null || m.replica == replica));
    if (!isKnown) {
      if (replica.domain == null) {
        unplaced.add(replica);
      }
      return;
    }
    vacate(replica);
    unplaced.remove(replica);
    replica.domain = members.get(0).domain;
    for (int i = 0; i < members.size(); i++) {
      InstanceEntry member = members.get(i);
      assign(replica, i, member);
      member.isLoaded = !member.isUp;
    }
  }

  /** Repairs what can be repaired in a domain, the replica that lacks least first. */
  private void repair(DomainEntry domain, long now, List<RepairAction> actions) {
    while (!domain.broken.isEmpty() && repairNext(domain, now, actions)) {
      // Each round repairs one replica, which changes what the next one may take.
    }
    placeWaiting(domain, now, actions);
  }

  private boolean repairNext(DomainEntry domain, long now, List<RepairAction> actions) {
    List<ReplicaEntry> candidates =
        domain.broken.stream()
            .filter(r -> isReplaceable(r, now))
            .sorted(FEWEST_ABSENT_FIRST)
            .toList();
    if (candidates.isEmpty()) {
      return false;
    }
    ReplicaEntry first = candidates.get(0);
    List<InstanceEntry> donors = domain.getUsable(now);
    int lacking = first.getAbsent() - donors.size();
    for (int i = candidates.size() - 1; i > 0 && lacking > 0; i--) {
      List<InstanceEntry> up = candidates.get(i).getUpMembers();
      int taken = Math.min(lacking, up.size());
      donors.addAll(up.subList(up.size() - taken, up.size()));
      lacking -= taken;
    }
    if (lacking > 0) {
      return false;
    }
    fill(first, donors, actions);
    return true;
  }

  private boolean isReplaceable(ReplicaEntry replica, long now) {
    for (InstanceEntry member : replica.members) {
      if (member != null && !member.isUp && !isGivenUp(member, now)) {
        return false;
      }
    }
    return true;
  }

  private boolean isGivenUp(InstanceEntry member, long now) {
    if (member.isGone || !member.isLoaded) {
      return true;
    }
    double budget = priceSeconds * NANOS_PER_SECOND - member.getRecentOutNanos();
    long due = member.outSinceNanos + (long) Math.max(0, Math.min(getPatienceNanos(), budget));
    if (now - due >= 0) {
      return true;
    }
    if (member.timerNanos != due) {
      member.timerNanos = due;
      addTimer(due, member.domain);
    }
    return false;
  }

  private void fill(ReplicaEntry replica, List<InstanceEntry> donors, List<RepairAction> actions) {
    int next = 0;
    for (int i = 0; i < replica.members.length; i++) {
      InstanceEntry member = replica.members[i];
      if (member == null || !member.isUp) {
        release(replica, i);
        InstanceEntry donor = donors.get(next);
        next++;
        if (donor.replica != null) {
          takeFrom(donor, actions);
        }
        assign(replica, i, donor);
      }
    }
    setPending(replica);
    actions.add(new RepairAction.SetMembers(replica.id, replica.getMemberIds()));
  }

  private void takeFrom(InstanceEntry donor, List<RepairAction> actions) {
    ReplicaEntry source = donor.replica;
    RepairAction dissolve = new RepairAction.Dissolve(source.id);
    if (!actions.contains(dissolve)) {
      actions.add(dissolve);
    }
    release(source, donor.position);
    setPending(source);
  }

  private void setPending(ReplicaEntry replica) {
    replica.isPending = true;
    if (!settings.isWeightKept()) {
      replica.getUpMembers().forEach(this::unload);
    }
    update(replica);
  }

  private void unload(InstanceEntry instance) {
    loads.end(instance);
    instance.isLoaded = false;
  }

  /** Places a waiting replica, or one that its own domain can't repair, in a domain with room. */
  private void placeWaiting(DomainEntry domain, long now, List<RepairAction> actions) {
    List<InstanceEntry> usable = domain.getUsable(now);
    Iterator<ReplicaEntry> waiting = unplaced.iterator();
    while (!usable.isEmpty() && waiting.hasNext()) {
      ReplicaEntry replica = waiting.next();
      if (usable.size() >= replica.members.length) {
        waiting.remove();
        replica.domain = domain;
        fill(replica, usable, actions);
        usable = domain.getUsable(now);
      }
    }
    moveStuck(domain, now, actions);
  }

  private void moveStuck(DomainEntry domain, long now, List<RepairAction> actions) {
    List<InstanceEntry> usable = domain.getUsable(now);
    for (DomainEntry other : usable.size() > 1 ? domains.values() : List.<DomainEntry>of()) {
      for (ReplicaEntry replica : other == domain ? List.<ReplicaEntry>of() : copyOf(other)) {
        if (usable.size() >= replica.members.length && isReplaceable(replica, now)) {
          actions.add(new RepairAction.Dissolve(replica.id));
          vacate(replica);
          replica.domain = domain;
          fill(replica, usable, actions);
          usable = domain.getUsable(now);
          addTimer(now, other);
        }
      }
    }
  }

  private static List<ReplicaEntry> copyOf(DomainEntry domain) {
    return List.copyOf(domain.broken);
  }

  private void vacate(ReplicaEntry replica) {
    for (int i = 0; i < replica.members.length; i++) {
      release(replica, i);
    }
    loads.remove(replica);
    if (replica.domain != null) {
      replica.domain.broken.remove(replica);
      replica.domain = null;
    }
  }

  private void release(ReplicaEntry replica, int position) {
    InstanceEntry member = replica.members[position];
    if (member == null) {
      return;
    }
    unload(member);
    replica.members[position] = null;
    member.replica = null;
    if (member.isUp) {
      member.domain.free.add(member);
    }
  }

  private void assign(ReplicaEntry replica, int position, InstanceEntry instance) {
    instance.domain.free.remove(instance);
    instance.replica = replica;
    instance.position = position;
    replica.members[position] = instance;
  }

  private void markBroken(ReplicaEntry replica, long now) {
    if (replica.domain.broken.isEmpty() || !replica.domain.broken.contains(replica)) {
      replica.brokenSinceNanos = now;
    }
    update(replica);
  }

  private void update(ReplicaEntry replica) {
    loads.update(replica);
    if (replica.domain != null) {
      if (replica.getAbsent() > 0) {
        replica.domain.broken.add(replica);
      } else {
        replica.domain.broken.remove(replica);
      }
    }
  }

  private long getPatienceNanos() {
    return (long) (history.getPatienceSeconds(priceSeconds) * NANOS_PER_SECOND);
  }

  private void addTimer(long dueNanos, DomainEntry domain) {
    timers.add(new Timer(dueNanos, domain));
  }

  private void runTimers(long now, List<RepairAction> actions) {
    List<DomainEntry> due = new ArrayList<>();
    while (!timers.isEmpty() && now - timers.peek().dueNanos() >= 0) {
      due.add(timers.poll().domain());
    }
    due.stream().distinct().forEach(d -> repair(d, now, actions));
  }

  private record Timer(long dueNanos, DomainEntry domain) {}
}
