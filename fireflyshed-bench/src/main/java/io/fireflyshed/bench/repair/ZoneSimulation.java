package io.fireflyshed.bench.repair;

import io.fireflyshed.coordination.repair.RepairAction;
import io.fireflyshed.coordination.repair.RepairEvent;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/**
 * Plays outages against a policy on a virtual clock and adds up both measures. Not thread safe.
 *
 * <p>It keeps its own truth of who holds which weights, so a policy that proposes a member twice is
 * found out: the run fails with an {@link IllegalStateException}.
 */
public final class ZoneSimulation {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int NONE = -1;

  private final ZoneShape shape;
  private final RepairSettings settings;
  private final RepairPolicy policy;
  private final SharedStore store;
  private final Map<InstanceId, Integer> instanceIndexes = new HashMap<>();
  private final Map<ReplicaId, Integer> replicaIndexes = new HashMap<>();
  private final InstanceId[] instances;
  private final boolean[] isUp;
  private final boolean[] isLoaded;
  private final int[] replicaOf;
  private final ReplicaId[] replicas;
  private final int[][] members;
  private final boolean[] isWhole;
  private final int[] versions;
  private final boolean[] isConfirmed;
  private final PriorityQueue<Confirmation> confirmations =
      new PriorityQueue<>(Comparator.comparingLong(Confirmation::dueNanos));
  private boolean isWarm;
  private long nowNanos;
  private int live;
  private int whole;
  private RepairMeasures measures = RepairMeasures.ZERO;

  /**
   * Creates a simulation in which all replicas are whole.
   *
   * @param shape the zone, not null
   * @param settings the times of loads and releases, not null
   * @param policy the policy, which knows of nothing yet, not null
   */
  public ZoneSimulation(ZoneShape shape, RepairSettings settings, RepairPolicy policy) {
    this.shape = shape;
    this.settings = settings;
    this.policy = policy;
    this.store = new SharedStore(settings.loadTime().toNanos(), settings.loadSlots());
    int count = shape.domains() * shape.getInstancesPerDomain();
    instances = new InstanceId[count];
    isUp = new boolean[count];
    isLoaded = new boolean[count];
    replicaOf = new int[count];
    Arrays.fill(replicaOf, NONE);
    replicas = new ReplicaId[shape.getReplicas()];
    members = new int[replicas.length][];
    isWhole = new boolean[replicas.length];
    versions = new int[replicas.length];
    isConfirmed = new boolean[replicas.length];
    warmUp();
  }

  /**
   * Plays a trace.
   *
   * @param outages the outages by their start; those of instances that are not held are skipped,
   *     not null
   * @param endNanos when to stop, in nanoseconds since the begin
   * @return both measures, never null
   * @throws IllegalStateException if the policy puts an instance in two replicas
   */
  public RepairMeasures run(List<Outage> outages, long endNanos) {
    PriorityQueue<Change> changes =
        new PriorityQueue<>(
            Comparator.comparingLong(Change::dueNanos).thenComparingInt(Change::instance));
    for (Outage outage : outages) {
      if (outage.instance() < shape.getInstancesPerDomain()) {
        int index = outage.domain() * shape.getInstancesPerDomain() + outage.instance();
        changes.add(new Change(outage.startNanos(), index, outage, false));
        changes.add(new Change(outage.endNanos(), index, outage, true));
      }
    }
    while (true) {
      long next = getNextNanos(changes);
      advance(Math.min(next, endNanos));
      if (next >= endNanos) {
        return measures;
      }
      step(changes);
    }
  }

  private long getNextNanos(PriorityQueue<Change> changes) {
    long next = store.getNextFinishNanos();
    if (!changes.isEmpty()) {
      next = Math.min(next, changes.peek().dueNanos());
    }
    if (!confirmations.isEmpty()) {
      next = Math.min(next, confirmations.peek().dueNanos());
    }
    OptionalLong deadline = policy.getNextDeadlineNanos();
    return deadline.isPresent() ? Math.min(next, deadline.getAsLong()) : next;
  }

  private void advance(long toNanos) {
    double seconds = (toNanos - nowNanos) / NANOS_PER_SECOND;
    int serving = whole * shape.instancesPerReplica();
    double stranded = (live - serving) * (double) shape.accelerators();
    measures =
        measures.plus(new RepairMeasures(seconds * (replicas.length - whole), seconds * stranded));
    store.advance(toNanos);
    nowNanos = toNanos;
  }

  private void step(PriorityQueue<Change> changes) {
    if (store.getNextFinishNanos() <= nowNanos) {
      int instance = store.finishNext();
      isLoaded[instance] = true;
      updateWhole(replicaOf[instance]);
      tell(new RepairEvent.LoadFinished(instances[instance], nowNanos));
    } else if (!confirmations.isEmpty() && confirmations.peek().dueNanos() <= nowNanos) {
      confirm(confirmations.remove());
    } else if (!changes.isEmpty() && changes.peek().dueNanos() <= nowNanos) {
      change(changes.remove());
    } else {
      tell(new RepairEvent.TimePassed(nowNanos));
    }
  }

  private void change(Change change) {
    int instance = change.instance();
    isUp[instance] = change.isReturn();
    live += change.isReturn() ? 1 : -1;
    if (!change.isReturn()) {
      store.cancel(instance);
    } else if (change.outage().isBlank()) {
      isLoaded[instance] = false;
    }
    updateWhole(replicaOf[instance]);
    InstanceId id = instances[instance];
    tell(
        change.isReturn()
            ? new RepairEvent.InstanceReturned(id, isLoaded[instance], nowNanos)
            : new RepairEvent.InstanceLost(id, false, nowNanos));
  }

  private void confirm(Confirmation confirmation) {
    int replica = confirmation.replica();
    if (confirmation.version() != versions[replica]) {
      return;
    }
    isConfirmed[replica] = true;
    updateWhole(replica);
    List<InstanceId> ids = Arrays.stream(members[replica]).mapToObj(m -> instances[m]).toList();
    tell(new RepairEvent.ReplicaFormed(replicas[replica], ids, nowNanos));
  }

  private void tell(RepairEvent event) {
    for (RepairAction action : policy.handle(event)) {
      if (action instanceof RepairAction.SetMembers set) {
        setMembers(set);
      } else if (action instanceof RepairAction.StartLoad load) {
        startLoad(load);
      } else if (action instanceof RepairAction.Dissolve dissolve) {
        dissolve(replicaIndexes.get(dissolve.replica()));
      }
    }
  }

  private void dissolve(int replica) {
    versions[replica]++;
    isConfirmed[replica] = false;
    if (!settings.isWeightKept() && members[replica] != null) {
      Arrays.stream(members[replica]).filter(m -> m != NONE).forEach(this::unload);
    }
    updateWhole(replica);
  }

  private void unload(int instance) {
    isLoaded[instance] = false;
    store.cancel(instance);
  }

  private void setMembers(RepairAction.SetMembers action) {
    int replica = replicaIndexes.get(action.replica());
    dissolve(replica);
    int[] old = members[replica];
    int[] wanted = action.members().stream().mapToInt(instanceIndexes::get).toArray();
    for (int i = 0; old != null && i < old.length; i++) {
      if (old[i] != NONE && old[i] != wanted[i]) {
        remove(old[i], replica, i);
      }
    }
    for (int i = 0; i < wanted.length; i++) {
      take(wanted[i], replica, i);
    }
    members[replica] = wanted;
    long delay = isWarm ? settings.releaseTime().toNanos() : 0;
    confirmations.add(new Confirmation(nowNanos + delay, replica, versions[replica]));
  }

  private void take(int instance, int replica, int position) {
    int holder = replicaOf[instance];
    boolean isStaying =
        holder == replica && members[replica] != null && members[replica][position] == instance;
    if (isStaying) {
      return;
    }
    if (holder != NONE && holder != replica) {
      if (isConfirmed[holder]) {
        throw new IllegalStateException(instances[instance] + " would be in two replicas");
      }
      for (int i = 0; i < members[holder].length; i++) {
        if (members[holder][i] == instance) {
          remove(instance, holder, i);
        }
      }
    }
    replicaOf[instance] = replica;
    unload(instance);
  }

  private void remove(int instance, int replica, int position) {
    members[replica][position] = NONE;
    if (replicaOf[instance] == replica) {
      replicaOf[instance] = NONE;
    }
    unload(instance);
  }

  private void startLoad(RepairAction.StartLoad load) {
    int instance = instanceIndexes.get(load.member());
    int replica = replicaIndexes.get(load.replica());
    if (!isUp[instance] || replicaOf[instance] != replica || !isConfirmed[replica]) {
      throw new IllegalStateException(load + " does not fit the members");
    }
    isLoaded[instance] = false;
    store.start(instance);
    updateWhole(replica);
  }

  private void updateWhole(int replica) {
    if (replica == NONE) {
      return;
    }
    boolean isNow = isConfirmed[replica];
    for (int i = 0; isNow && i < members[replica].length; i++) {
      int member = members[replica][i];
      isNow = member != NONE && isUp[member] && isLoaded[member];
    }
    if (isNow != isWhole[replica]) {
      isWhole[replica] = isNow;
      whole += isNow ? 1 : -1;
    }
  }

  /** Forms and loads all replicas without letting time pass. */
  private void warmUp() {
    for (int i = 0; i < instances.length; i++) {
      instances[i] = new InstanceId("i" + i);
      instanceIndexes.put(instances[i], i);
      isUp[i] = true;
      live++;
      FabricDomain domain = new FabricDomain("d" + i / shape.getInstancesPerDomain());
      tell(new RepairEvent.InstanceAdded(instances[i], domain, 0));
    }
    for (int i = 0; i < replicas.length; i++) {
      replicas[i] = new ReplicaId("r" + i);
      replicaIndexes.put(replicas[i], i);
      tell(new RepairEvent.ReplicaWanted(replicas[i], shape.instancesPerReplica(), 0));
      while (!confirmations.isEmpty()) {
        confirm(confirmations.remove());
      }
      while (store.getNextFinishNanos() < Long.MAX_VALUE) {
        int instance = store.finishNext();
        isLoaded[instance] = true;
        updateWhole(replicaOf[instance]);
        tell(new RepairEvent.LoadFinished(instances[instance], 0));
      }
    }
    if (whole != replicas.length) {
      throw new IllegalStateException("only " + whole + " replicas are whole at the begin");
    }
    isWarm = true;
  }

  private record Change(long dueNanos, int instance, Outage outage, boolean isReturn) {}

  private record Confirmation(long dueNanos, int replica, int version) {}
}
