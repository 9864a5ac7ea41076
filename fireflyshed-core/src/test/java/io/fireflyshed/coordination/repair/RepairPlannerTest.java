package io.fireflyshed.coordination.repair;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link RepairPlanner}. */
public class RepairPlannerTest {

  private static final Duration LOAD_TIME = Duration.ofSeconds(100);
  private static final Duration BEYOND_WAIT_LIMIT = Duration.ofSeconds(111);
  private static final int SIZE = 3;

  /** Drives the planner of one zone and records its actions. */
  private static final class Zone {

    final ManualClock clock = new ManualClock();
    final RepairPlanner planner;
    final List<RepairAction> actions = new ArrayList<>();
    final Set<InstanceId> loading = new HashSet<>();

    Zone(int slots) {
      this(slots, Duration.ofMinutes(10));
    }

    Zone(int slots, Duration stableTime) {
      planner =
          new RepairPlanner(
              new RepairSettings(
                  RepairWeights.ofHarwood(),
                  LOAD_TIME,
                  slots,
                  Duration.ofSeconds(10),
                  true,
                  3,
                  stableTime));
    }

    static Zone ofComplete(int slots, int replicas, int spares) {
      Zone zone = new Zone(slots);
      zone.addInstances("d", replicas * SIZE + spares);
      for (int i = 0; i < replicas; i++) {
        zone.requestReplica("r" + i);
        zone.settle();
        assertTrue(zone.isComplete("r" + i));
      }
      zone.actions.clear();
      return zone;
    }

    void addInstances(String domain, int count) {
      for (int i = 0; i < count; i++) {
        submit(
            new RepairEvent.InstanceAdded(
                new InstanceId(domain + "-" + i), new FabricDomain(domain), clock.nanoTime()));
      }
    }

    void requestReplica(String replica) {
      submit(new RepairEvent.ReplicaWanted(new ReplicaId(replica), SIZE, clock.nanoTime()));
    }

    void loseInstance(String instance) {
      InstanceId id = new InstanceId(instance);
      loading.remove(id);
      submit(new RepairEvent.InstanceLost(id, false, clock.nanoTime()));
    }

    void returnInstance(String instance, boolean isLoaded) {
      submit(
          new RepairEvent.InstanceReturned(new InstanceId(instance), isLoaded, clock.nanoTime()));
    }

    void advance(Duration time) {
      clock.advance(time);
      submit(new RepairEvent.TimePassed(clock.nanoTime()));
    }

    void confirmMembers(String replica) {
      ReplicaId id = new ReplicaId(replica);
      submit(new RepairEvent.ReplicaFormed(id, planner.getMembers(id), clock.nanoTime()));
    }

    void finishLoad(InstanceId instance) {
      loading.remove(instance);
      submit(new RepairEvent.LoadFinished(instance, clock.nanoTime()));
    }

    /** Confirms members and finishes loads until the planner has no more actions. */
    void settle() {
      for (int i = 0; i < actions.size(); i++) {
        if (actions.get(i) instanceof RepairAction.SetMembers set) {
          confirmMembers(set.replica().value());
        }
        for (InstanceId instance : List.copyOf(loading)) {
          finishLoad(instance);
        }
      }
    }

    boolean isComplete(String replica) {
      return planner.isComplete(new ReplicaId(replica));
    }

    long countSetMembers() {
      return actions.stream().filter(a -> a instanceof RepairAction.SetMembers).count();
    }

    private void submit(RepairEvent event) {
      for (RepairAction action : planner.handle(event)) {
        actions.add(action);
        if (action instanceof RepairAction.StartLoad load) {
          assertTrue(loading.add(load.member()), "load started twice: " + load);
        }
      }
    }
  }

  /** Tests of waiting for a lost member. */
  public static class Waiting {

    @Test
    public void keepsMembersDuringShortOutage() {
      Zone zone = Zone.ofComplete(4, 2, 1);
      zone.loseInstance("d-0");
      assertFalse(zone.isComplete("r0"));
      zone.advance(Duration.ofSeconds(5));
      zone.returnInstance("d-0", true);
      zone.advance(BEYOND_WAIT_LIMIT);
      assertTrue(zone.isComplete("r0"));
      assertEquals(zone.actions, List.of());
    }

    @Test
    public void replacesMemberAtAnnouncedDeadline() {
      Zone zone = Zone.ofComplete(4, 2, 1);
      zone.loseInstance("d-0");
      assertEquals(zone.actions, List.of());
      long due = zone.planner.getNextDeadlineNanos().getAsLong();
      zone.advance(Duration.ofNanos(due - zone.clock.nanoTime() - 1));
      assertEquals(zone.actions, List.of());
      zone.advance(Duration.ofNanos(1));
      List<InstanceId> members =
          List.of(new InstanceId("d-6"), new InstanceId("d-1"), new InstanceId("d-2"));
      assertEquals(
          zone.actions, List.of(new RepairAction.SetMembers(new ReplicaId("r0"), members)));
    }

    @Test
    public void loadsOnlyNewMember() {
      Zone zone = Zone.ofComplete(4, 2, 1);
      zone.loseInstance("d-0");
      zone.advance(BEYOND_WAIT_LIMIT);
      assertEquals(zone.loading, Set.of());
      zone.confirmMembers("r0");
      assertEquals(zone.loading, Set.of(new InstanceId("d-6")));
      assertFalse(zone.isComplete("r0"));
      zone.finishLoad(new InstanceId("d-6"));
      assertTrue(zone.isComplete("r0"));
    }

    @Test
    public void replacesPermanentlyLostMemberAtOnce() {
      Zone zone = Zone.ofComplete(4, 2, 1);
      zone.submit(new RepairEvent.InstanceLost(new InstanceId("d-0"), true, 0));
      assertEquals(zone.countSetMembers(), 1);
    }

    @Test
    public void reloadsMemberThatReturnsWithoutWeights() {
      Zone zone = Zone.ofComplete(4, 2, 0);
      zone.loseInstance("d-0");
      zone.advance(BEYOND_WAIT_LIMIT);
      assertEquals(zone.actions, List.of());
      zone.returnInstance("d-0", false);
      assertEquals(zone.loading, Set.of(new InstanceId("d-0")));
    }
  }

  /** Tests of flapping instances. */
  public static class Flapping {

    @Test
    public void waitsInTotalNoLongerThanReplacementTakes() {
      Zone zone = new Zone(4, Duration.ofDays(365));
      zone.addInstances("d", SIZE + 1);
      zone.requestReplica("r0");
      zone.settle();
      zone.actions.clear();
      Duration waited = Duration.ZERO;
      for (int i = 0; i < 60 && zone.countSetMembers() == 0; i++) {
        zone.loseInstance("d-0");
        zone.advance(Duration.ofSeconds(4));
        waited = waited.plusSeconds(4);
        if (zone.countSetMembers() == 0) {
          zone.returnInstance("d-0", true);
          zone.advance(Duration.ofMillis(100));
        }
      }
      assertEquals(zone.countSetMembers(), 1);
      Duration replacementCost = Duration.ofSeconds(110);
      Duration step = Duration.ofSeconds(4);
      assertTrue(waited.compareTo(replacementCost.plus(step)) < 0, "waited " + waited);
      assertTrue(waited.compareTo(replacementCost) >= 0, "waited " + waited);
    }

    @Test
    public void usesUnstableInstanceOnlyAfterItStayedUp() {
      Zone zone = Zone.ofComplete(4, 1, 1);
      for (int i = 0; i < 4; i++) {
        zone.loseInstance("d-3");
        zone.returnInstance("d-3", false);
      }
      zone.submit(new RepairEvent.InstanceLost(new InstanceId("d-0"), true, zone.clock.nanoTime()));
      zone.advance(Duration.ofMinutes(9));
      assertEquals(zone.countSetMembers(), 0);
      zone.advance(Duration.ofMinutes(1));
      assertEquals(zone.countSetMembers(), 1);
    }
  }

  /** Tests of the order of loads. */
  public static class LoadOrder {

    @Test
    public void completesReplicasOneAfterAnother() {
      Zone zone = Zone.ofComplete(SIZE, 4, 0);
      for (int i = 0; i < 4 * SIZE; i++) {
        zone.loseInstance("d-" + i);
      }
      zone.advance(BEYOND_WAIT_LIMIT);
      for (int i = 0; i < 4 * SIZE; i++) {
        zone.returnInstance("d-" + i, false);
      }
      for (int i = 1; i <= 4; i++) {
        assertTrue(zone.loading.size() <= SIZE, "loading " + zone.loading);
        for (InstanceId instance : List.copyOf(zone.loading)) {
          zone.finishLoad(instance);
        }
        int complete = 0;
        for (int r = 0; r < 4; r++) {
          complete += zone.isComplete("r" + r) ? 1 : 0;
        }
        assertEquals(complete, i);
      }
    }

    @Test
    public void startsWithLeastRemainingWork() {
      Zone zone = Zone.ofComplete(1, 3, 0);
      for (String instance : List.of("d-0", "d-3", "d-4", "d-6")) {
        zone.loseInstance(instance);
      }
      zone.returnInstance("d-0", false);
      zone.returnInstance("d-3", false);
      zone.returnInstance("d-4", false);
      zone.returnInstance("d-6", false);
      assertEquals(zone.loading, Set.of(new InstanceId("d-0")));
      zone.finishLoad(new InstanceId("d-0"));
      assertEquals(zone.loading, Set.of(new InstanceId("d-6")));
    }

    @Test
    public void reusesLoadSlotOfLostInstance() {
      Zone zone = new Zone(1);
      zone.addInstances("d", SIZE);
      zone.requestReplica("r0");
      zone.confirmMembers("r0");
      assertEquals(zone.loading, Set.of(new InstanceId("d-0")));
      zone.loseInstance("d-0");
      assertEquals(zone.loading.size(), 1);
      assertFalse(zone.loading.contains(new InstanceId("d-0")));
    }
  }

  /** Tests of moving members between incomplete replicas. */
  public static class Regrouping {

    @Test
    public void formsCompleteReplicaFromTwoIncomplete() {
      Zone zone = Zone.ofComplete(4, 2, 0);
      zone.loseInstance("d-0");
      zone.loseInstance("d-3");
      zone.advance(BEYOND_WAIT_LIMIT);
      assertTrue(zone.actions.contains(new RepairAction.Dissolve(new ReplicaId("r1"))));
      zone.settle();
      assertTrue(zone.isComplete("r0"));
      assertFalse(zone.isComplete("r1"));
      zone.returnInstance("d-0", false);
      zone.returnInstance("d-3", false);
      zone.settle();
      assertTrue(zone.isComplete("r1"));
    }

    @Test
    public void doesNotTakeMembersWhileWaiting() {
      Zone zone = Zone.ofComplete(4, 2, 0);
      zone.loseInstance("d-0");
      zone.advance(BEYOND_WAIT_LIMIT);
      zone.loseInstance("d-3");
      assertEquals(zone.actions, List.of());
    }

    @Test
    public void movesReplicaFromFailedDomain() {
      Zone zone = Zone.ofComplete(4, 2, 0);
      for (int i = 0; i < 2 * SIZE; i++) {
        zone.loseInstance("d-" + i);
      }
      zone.advance(BEYOND_WAIT_LIMIT);
      zone.addInstances("e", SIZE + 1);
      zone.settle();
      assertTrue(zone.isComplete("r0") ^ zone.isComplete("r1"));
    }
  }

  /** Tests of replicas that an earlier planner formed. */
  public static class Restoring {

    @Test
    public void restoresMembersWithoutActions() {
      Zone zone = new Zone(4);
      zone.addInstances("d", SIZE + 1);
      List<InstanceId> members =
          List.of(new InstanceId("d-3"), new InstanceId("d-1"), new InstanceId("d-2"));
      ReplicaId replica = new ReplicaId("r0");
      zone.planner.handle(new RepairEvent.ReplicaWanted(replica, SIZE, 0));
      zone.planner.handle(new RepairEvent.ReplicaFormed(replica, members, 0));
      assertEquals(zone.planner.getMembers(replica), members);
      assertEquals(zone.planner.getFreeCount(new FabricDomain("d"), 0), 1);
    }

    @Test
    public void freesMembersOfUnwantedReplica() {
      Zone zone = Zone.ofComplete(4, 1, 0);
      zone.submit(new RepairEvent.ReplicaUnwanted(new ReplicaId("r0"), 0));
      zone.requestReplica("r1");
      zone.settle();
      assertTrue(zone.isComplete("r1"));
    }
  }
}
