package io.fireflyshed.coordination.repair;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.AssignmentState;
import io.fireflyshed.coordination.assignment.ClusterState;
import io.fireflyshed.coordination.assignment.DissolveCause;
import io.fireflyshed.coordination.assignment.InstanceState;
import io.fireflyshed.coordination.assignment.InstanceStatus;
import io.fireflyshed.coordination.assignment.PlanAction;
import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests {@link RepairReplicaPlanner} with a fake coordinator. */
public class RepairReplicaPlannerTest {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final ServiceName CARDS = new ServiceName("cards");
  private static final int SIZE = 2;
  private static final int SETTLE_STEPS = 40;

  private static ReplicaPlanner newPlanner() {
    return new RepairReplicaPlanner(
        RepairSettings.of(RepairWeights.ofHarwood()), RolloutSettings.ofDefaults());
  }

  /** A fake coordinator that applies the proposed actions, one step per second. */
  private static final class Zone {

    ReplicaPlanner planner = newPlanner();
    List<ModelServiceSpec> services;
    final Map<InstanceId, InstanceState> instances = new TreeMap<>();
    final Map<ReplicaId, AssignmentState> rows = new TreeMap<>();
    final Map<ReplicaId, String> nextModels = new TreeMap<>();
    final List<PlanAction> actions = new ArrayList<>();
    long nowNanos;
    long generation;

    Zone(int replicas, int spares) {
      setService("m1", replicas, SIZE);
      for (int i = 0; i < replicas * SIZE + spares; i++) {
        setStatus(new InstanceId(String.format("i%03d", i)), InstanceStatus.HEALTHY);
      }
      settle();
      assertEquals(countComplete(), replicas);
      actions.clear();
    }

    void setService(String model, int replicas, int size) {
      services = List.of(new ModelServiceSpec(CARDS, model, size, replicas));
    }

    void setStatus(InstanceId id, InstanceStatus status) {
      InstanceRecord instance =
          new InstanceRecord(
              id,
              InetSocketAddress.createUnresolved("127.0.0.1", 1),
              ZONE,
              new FabricDomain("d"),
              8,
              status == InstanceStatus.LEAVING,
              Optional.empty());
      instances.put(id, new InstanceState(instance, status, nowNanos, false));
    }

    /** Unloads the weights of an instance. */
    void clearWeights(InstanceId id) {
      rows.replaceAll(
          (r, row) -> {
            Set<InstanceId> ready = new HashSet<>(row.ready());
            ready.remove(id);
            return withMembers(row, row.phase(), ready, Set.of());
          });
    }

    void settle() {
      for (int i = 0; i < SETTLE_STEPS; i++) {
        step();
      }
    }

    void step() {
      nowNanos += TimeUnit.SECONDS.toNanos(1);
      rows.replaceAll((id, row) -> finishPending(row));
      List<PlanAction> proposed = planner.plan(getState());
      proposed.forEach(this::apply);
      actions.addAll(proposed);
    }

    InstanceId getMember(int replica, int index) {
      ReplicaId id = new ReplicaId("cards.a." + replica);
      return rows.get(id).assignment().members().get(index).id();
    }

    int countComplete() {
      return (int) rows.values().stream().filter(this::isComplete).count();
    }

    <T extends PlanAction> List<T> findActions(Class<T> type) {
      return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private boolean isComplete(AssignmentState row) {
      return row.phase() == AssignmentPhase.ACTIVE
          && row.ready().size() == row.assignment().members().size()
          && row.ready().stream().allMatch(this::isHealthy);
    }

    private boolean isHealthy(InstanceId id) {
      return instances.get(id).status() == InstanceStatus.HEALTHY;
    }

    private ClusterState getState() {
      Set<InstanceId> held = new HashSet<>();
      for (AssignmentState row : rows.values()) {
        if (row.isHolding()) {
          row.assignment()
              .members()
              .forEach(m -> assertTrue(held.add(m.id()), "held by two replicas: " + m));
        }
      }
      List<InstanceState> list =
          instances.values().stream()
              .map(
                  i ->
                      new InstanceState(
                          i.instance(),
                          i.status(),
                          i.sinceNanos(),
                          held.contains(i.instance().id())))
              .toList();
      return new ClusterState(ZONE, services, list, List.copyOf(rows.values()), nowNanos);
    }

    private AssignmentState finishPending(AssignmentState row) {
      ReplicaId id = row.assignment().id();
      if (row.phase() == AssignmentPhase.DISSOLVING) {
        String model = nextModels.remove(id);
        return model == null
            ? withMembers(row, AssignmentPhase.DISSOLVED, Set.of(), Set.of())
            : newRow(id, row.assignment().service(), model, row.assignment().members());
      }
      Set<InstanceId> ready = new HashSet<>(row.ready());
      row.loading().stream().filter(this::isHealthy).forEach(ready::add);
      return withMembers(row, row.phase(), ready, Set.of());
    }

    private static AssignmentState withMembers(
        AssignmentState row, AssignmentPhase phase, Set<InstanceId> ready, Set<InstanceId> load) {
      return new AssignmentState(
          row.assignment(), row.model(), phase, ready, load, OptionalLong.empty());
    }

    private AssignmentState newRow(
        ReplicaId id, ServiceName service, String model, List<InstanceRecord> members) {
      generation++;
      return new AssignmentState(
          new Assignment(id, service, generation, members),
          model,
          AssignmentPhase.ACTIVE,
          Set.of(),
          Set.of(),
          OptionalLong.empty());
    }

    private void apply(PlanAction action) {
      if (action instanceof PlanAction.FormReplica form) {
        form.members().forEach(m -> assertTrue(isHealthy(m.id()), "member is not healthy: " + m));
        rows.put(
            form.replica(), newRow(form.replica(), form.service(), form.model(), form.members()));
      } else if (action instanceof PlanAction.DissolveReplica dissolve) {
        rows.computeIfPresent(
            dissolve.replica(),
            (id, row) -> withMembers(row, AssignmentPhase.DISSOLVING, row.ready(), Set.of()));
      } else if (action instanceof PlanAction.ChangeModel change) {
        nextModels.put(change.replica(), change.model());
        rows.computeIfPresent(
            change.replica(),
            (id, row) -> withMembers(row, AssignmentPhase.DISSOLVING, row.ready(), Set.of()));
      } else if (action instanceof PlanAction.LoadMember load) {
        AssignmentState row = rows.get(load.replica());
        Set<InstanceId> loading = new HashSet<>(row.loading());
        loading.add(load.member());
        rows.put(load.replica(), withMembers(row, row.phase(), row.ready(), loading));
      }
    }
  }

  /** Tests of repair. */
  public static class Repair {

    @Test
    public void keepsReplicaWhileMemberIsBrieflySuspect() {
      Zone zone = new Zone(3, 1);
      InstanceId member = zone.getMember(1, 0);
      zone.setStatus(member, InstanceStatus.SUSPECT);
      zone.step();
      zone.step();
      zone.setStatus(member, InstanceStatus.HEALTHY);
      zone.settle();
      assertEquals(zone.actions, List.of());
    }

    @Test
    public void replacesLostMemberWithSpare() {
      Zone zone = new Zone(3, 1);
      InstanceId member = zone.getMember(1, 0);
      zone.setStatus(member, InstanceStatus.FAILED);
      zone.settle();
      assertEquals(zone.countComplete(), 3);
      assertFalse(zone.getMember(1, 0).equals(member));
      assertEquals(
          zone.findActions(PlanAction.DissolveReplica.class).get(0).cause(),
          DissolveCause.MEMBER_LOST);
    }

    @Test
    public void reloadsMemberThatReturnsWithoutWeights() {
      Zone zone = new Zone(3, 0);
      InstanceId member = zone.getMember(1, 0);
      zone.setStatus(member, InstanceStatus.FAILED);
      zone.clearWeights(member);
      zone.settle();
      assertEquals(zone.countComplete(), 2);
      zone.setStatus(member, InstanceStatus.HEALTHY);
      zone.settle();
      assertEquals(zone.countComplete(), 3);
      assertEquals(zone.findActions(PlanAction.DissolveReplica.class), List.of());
    }

    @Test
    public void dissolvesAtOnceIfMemberLeaves() {
      Zone zone = new Zone(3, 1);
      zone.setStatus(zone.getMember(0, 1), InstanceStatus.LEAVING);
      zone.step();
      assertEquals(
          zone.findActions(PlanAction.DissolveReplica.class).get(0).cause(), DissolveCause.DRAIN);
      zone.settle();
      assertEquals(zone.countComplete(), 3);
    }
  }

  /** Tests of planners that start without state. */
  public static class NewCoordinator {

    @Test
    public void keepsCompleteReplicas() {
      Zone zone = new Zone(4, 1);
      zone.planner = newPlanner();
      zone.settle();
      assertEquals(zone.actions, List.of());
    }

    @Test
    public void continuesRepair() {
      for (int steps = 0; steps < 20; steps++) {
        Zone zone = new Zone(3, 1);
        zone.setStatus(zone.getMember(1, 0), InstanceStatus.FAILED);
        for (int i = 0; i < steps; i++) {
          zone.step();
        }
        zone.planner = newPlanner();
        zone.settle();
        assertEquals(zone.countComplete(), 3, "after " + steps + " steps");
      }
    }

    @Test
    public void adoptsReplicasOfAnotherCoordinator() {
      Zone zone = new Zone(3, 2);
      ReplicaPlanner paused = zone.planner;
      zone.planner = newPlanner();
      zone.setStatus(zone.getMember(1, 0), InstanceStatus.FAILED);
      zone.settle();
      zone.actions.clear();
      zone.planner = paused;
      zone.settle();
      assertEquals(zone.countComplete(), 3);
      assertEquals(zone.actions, List.of());
    }
  }

  /** Tests of changes of the wanted services. */
  public static class Rollout {

    @Test
    public void changesModelWithoutFallingBelowFloor() {
      Zone zone = new Zone(8, 0);
      zone.setService("m2", 8, SIZE);
      for (int i = 0; i < 100; i++) {
        zone.step();
        assertTrue(zone.countComplete() >= 7, zone.countComplete() + " complete at step " + i);
      }
      assertEquals(zone.countComplete(), 8);
      assertTrue(zone.rows.values().stream().allMatch(r -> r.model().equals("m2")));
    }

    @Test
    public void changesSizeWithoutFallingBelowFloor() {
      Zone zone = new Zone(8, 8);
      zone.setService("m1", 8, SIZE + 1);
      for (int i = 0; i < 200; i++) {
        zone.step();
        assertTrue(zone.countComplete() >= 7, zone.countComplete() + " complete at step " + i);
      }
      assertEquals(zone.countComplete(), 8);
      assertTrue(
          zone.rows.values().stream().allMatch(r -> r.assignment().members().size() == SIZE + 1));
    }

    @Test
    public void movesInstancesToAnotherService() {
      Zone zone = new Zone(4, 0);
      zone.services =
          List.of(
              new ModelServiceSpec(CARDS, "m1", SIZE, 2),
              new ModelServiceSpec(new ServiceName("drafts"), "n1", SIZE, 2));
      zone.settle();
      assertEquals(zone.countComplete(), 4);
      assertEquals(
          zone.findActions(PlanAction.DissolveReplica.class).stream()
              .filter(d -> d.cause() == DissolveCause.SURPLUS)
              .count(),
          2);
    }
  }

  /**
   * Tests with random faults; the fake coordinator fails if two replicas hold the same instance.
   */
  public static class RandomFaults {

    @Test
    public void completesReplicasAfterRandomFaults() {
      for (int seed = 0; seed < 200; seed++) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Zone zone = new Zone(4, 2);
        List<InstanceId> ids = List.copyOf(zone.instances.keySet());
        for (int i = 0; i < 120; i++) {
          InstanceId id = ids.get(random.nextInt(ids.size()));
          InstanceStatus[] all = InstanceStatus.values();
          zone.setStatus(id, all[random.nextInt(all.length)]);
          if (random.nextBoolean()) {
            zone.clearWeights(id);
          }
          if (random.nextInt(20) == 0) {
            zone.planner = newPlanner();
          }
          zone.step();
        }
        ids.forEach(id -> zone.setStatus(id, InstanceStatus.HEALTHY));
        for (int i = 0; i < 1_000; i++) {
          zone.step();
        }
        assertEquals(
            zone.countComplete(),
            4,
            "seed "
                + seed
                + "; mvn -o test -pl fireflyshed-core -Dtest='RepairReplicaPlannerTest*'");
      }
    }
  }
}
