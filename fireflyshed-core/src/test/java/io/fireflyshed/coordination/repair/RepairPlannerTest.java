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
  private static final Duration BEYOND_PATIENCE = Duration.ofSeconds(111);
  private static final int SIZE = 3;

  /** Plays one zone by hand. */
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

    static Zone ofWhole(int slots, int replicas, int spares) {
      Zone zone = new Zone(slots);
      zone.addDomain("d", replicas * SIZE + spares);
      for (int i = 0; i < replicas; i++) {
        zone.want("r" + i);
        zone.settle();
        assertTrue(zone.isWhole("r" + i));
      }
      zone.actions.clear();
      return zone;
    }

    void addDomain(String domain, int count) {
      for (int i = 0; i < count; i++) {
        tell(
            new RepairEvent.InstanceAdded(
                new InstanceId(domain + "-" + i), new FabricDomain(domain), clock.nanoTime()));
      }
    }

    void want(String replica) {
      tell(new RepairEvent.ReplicaWanted(new ReplicaId(replica), SIZE, clock.nanoTime()));
    }

    void lose(String instance) {
      InstanceId id = new InstanceId(instance);
      loading.remove(id);
      tell(new RepairEvent.InstanceLost(id, false, clock.nanoTime()));
    }

    void bringBack(String instance, boolean isLoaded) {
      tell(new RepairEvent.InstanceReturned(new InstanceId(instance), isLoaded, clock.nanoTime()));
    }

    void pass(Duration time) {
      clock.advance(time);
      tell(new RepairEvent.TimePassed(clock.nanoTime()));
    }

    void confirm(String replica) {
      ReplicaId id = new ReplicaId(replica);
      tell(new RepairEvent.ReplicaFormed(id, planner.getMembers(id), clock.nanoTime()));
    }

    void finishLoad(InstanceId instance) {
      loading.remove(instance);
      tell(new RepairEvent.LoadFinished(instance, clock.nanoTime()));
    }

    /** Confirms and loads until nothing is left to do. */
    void settle() {
      for (int i = 0; i < actions.size(); i++) {
        if (actions.get(i) instanceof RepairAction.SetMembers set) {
          confirm(set.replica().value());
        }
        for (InstanceId instance : List.copyOf(loading)) {
          finishLoad(instance);
        }
      }
    }

    boolean isWhole(String replica) {
      return planner.isWhole(new ReplicaId(replica));
    }

    long countSets() {
      return actions.stream().filter(a -> a instanceof RepairAction.SetMembers).count();
    }

    private void tell(RepairEvent event) {
      for (RepairAction action : planner.handle(event)) {
        actions.add(action);
        if (action instanceof RepairAction.StartLoad load) {
          assertTrue(loading.add(load.member()), "loaded twice: " + load);
        }
      }
    }
  }

  /** Tests of waiting for a lost member. */
  public static class Waiting {

    @Test
    public void keepsMembersOverShortPause() {
      Zone zone = Zone.ofWhole(4, 2, 1);
      zone.lose("d-0");
      assertFalse(zone.isWhole("r0"));
      zone.pass(Duration.ofSeconds(5));
      zone.bringBack("d-0", true);
      zone.pass(BEYOND_PATIENCE);
      assertTrue(zone.isWhole("r0"));
      assertEquals(zone.actions, List.of());
    }

    @Test
    public void replacesAtTheDeadlineThatItAnnounced() {
      Zone zone = Zone.ofWhole(4, 2, 1);
      zone.lose("d-0");
      assertEquals(zone.actions, List.of());
      long due = zone.planner.getNextDeadlineNanos().getAsLong();
      zone.pass(Duration.ofNanos(due - zone.clock.nanoTime() - 1));
      assertEquals(zone.actions, List.of());
      zone.pass(Duration.ofNanos(1));
      List<InstanceId> members =
          List.of(new InstanceId("d-6"), new InstanceId("d-1"), new InstanceId("d-2"));
      assertEquals(
          zone.actions, List.of(new RepairAction.SetMembers(new ReplicaId("r0"), members)));
    }

    @Test
    public void loadsOnlyTheNewMember() {
      Zone zone = Zone.ofWhole(4, 2, 1);
      zone.lose("d-0");
      zone.pass(BEYOND_PATIENCE);
      assertEquals(zone.loading, Set.of());
      zone.confirm("r0");
      assertEquals(zone.loading, Set.of(new InstanceId("d-6")));
      assertFalse(zone.isWhole("r0"));
      zone.finishLoad(new InstanceId("d-6"));
      assertTrue(zone.isWhole("r0"));
    }

    @Test
    public void replacesAtOnceWhatIsGone() {
      Zone zone = Zone.ofWhole(4, 2, 1);
      zone.tell(new RepairEvent.InstanceLost(new InstanceId("d-0"), true, 0));
      assertEquals(zone.countSets(), 1);
    }

    @Test
    public void loadsInPlaceWhatComesBackBlank() {
      Zone zone = Zone.ofWhole(4, 2, 0);
      zone.lose("d-0");
      zone.pass(BEYOND_PATIENCE);
      assertEquals(zone.actions, List.of());
      zone.bringBack("d-0", false);
      assertEquals(zone.loading, Set.of(new InstanceId("d-0")));
    }
  }

  /** Tests of instances that come and go. */
  public static class ComingAndGoing {

    @Test
    public void waitsInSumNoLongerThanReplacingTakes() {
      Zone zone = new Zone(4, Duration.ofDays(365));
      zone.addDomain("d", SIZE + 1);
      zone.want("r0");
      zone.settle();
      zone.actions.clear();
      Duration waited = Duration.ZERO;
      for (int i = 0; i < 60 && zone.countSets() == 0; i++) {
        zone.lose("d-0");
        zone.pass(Duration.ofSeconds(4));
        waited = waited.plusSeconds(4);
        if (zone.countSets() == 0) {
          zone.bringBack("d-0", true);
          zone.pass(Duration.ofMillis(100));
        }
      }
      assertEquals(zone.countSets(), 1);
      Duration price = Duration.ofSeconds(110);
      Duration step = Duration.ofSeconds(4);
      assertTrue(waited.compareTo(price.plus(step)) < 0, "waited " + waited);
      assertTrue(waited.compareTo(price) >= 0, "waited " + waited);
    }

    @Test
    public void takesAnUnstableInstanceOnlyAfterItStayedUp() {
      Zone zone = Zone.ofWhole(4, 1, 1);
      for (int i = 0; i < 4; i++) {
        zone.lose("d-3");
        zone.bringBack("d-3", false);
      }
      zone.tell(new RepairEvent.InstanceLost(new InstanceId("d-0"), true, zone.clock.nanoTime()));
      zone.pass(Duration.ofMinutes(9));
      assertEquals(zone.countSets(), 0);
      zone.pass(Duration.ofMinutes(1));
      assertEquals(zone.countSets(), 1);
    }
  }

  /** Tests of the order of loads. */
  public static class LoadOrder {

    @Test
    public void finishesReplicasOneAfterAnother() {
      Zone zone = Zone.ofWhole(SIZE, 4, 0);
      for (int i = 0; i < 4 * SIZE; i++) {
        zone.lose("d-" + i);
      }
      zone.pass(BEYOND_PATIENCE);
      for (int i = 0; i < 4 * SIZE; i++) {
        zone.bringBack("d-" + i, false);
      }
      for (int i = 1; i <= 4; i++) {
        assertTrue(zone.loading.size() <= SIZE, "loading " + zone.loading);
        for (InstanceId instance : List.copyOf(zone.loading)) {
          zone.finishLoad(instance);
        }
        int whole = 0;
        for (int r = 0; r < 4; r++) {
          whole += zone.isWhole("r" + r) ? 1 : 0;
        }
        assertEquals(whole, i);
      }
    }

    @Test
    public void startsWithTheOneThatHasLeastLeft() {
      Zone zone = Zone.ofWhole(1, 3, 0);
      for (String instance : List.of("d-0", "d-3", "d-4", "d-6")) {
        zone.lose(instance);
      }
      zone.bringBack("d-0", false);
      zone.bringBack("d-3", false);
      zone.bringBack("d-4", false);
      zone.bringBack("d-6", false);
      assertEquals(zone.loading, Set.of(new InstanceId("d-0")));
      zone.finishLoad(new InstanceId("d-0"));
      assertEquals(zone.loading, Set.of(new InstanceId("d-6")));
    }

    @Test
    public void givesTheSlotOfALostInstanceToTheNext() {
      Zone zone = new Zone(1);
      zone.addDomain("d", SIZE);
      zone.want("r0");
      zone.confirm("r0");
      assertEquals(zone.loading, Set.of(new InstanceId("d-0")));
      zone.lose("d-0");
      assertEquals(zone.loading.size(), 1);
      assertFalse(zone.loading.contains(new InstanceId("d-0")));
    }
  }

  /** Tests of fragments in a fabric domain. */
  public static class Regrouping {

    @Test
    public void makesOneWholeReplicaOfTwoBroken() {
      Zone zone = Zone.ofWhole(4, 2, 0);
      zone.lose("d-0");
      zone.lose("d-3");
      zone.pass(BEYOND_PATIENCE);
      assertTrue(zone.actions.contains(new RepairAction.Dissolve(new ReplicaId("r1"))));
      zone.settle();
      assertTrue(zone.isWhole("r0"));
      assertFalse(zone.isWhole("r1"));
      zone.bringBack("d-0", false);
      zone.bringBack("d-3", false);
      zone.settle();
      assertTrue(zone.isWhole("r1"));
    }

    @Test
    public void leavesAWaitingReplicaItsMembers() {
      Zone zone = Zone.ofWhole(4, 2, 0);
      zone.lose("d-0");
      zone.pass(BEYOND_PATIENCE);
      zone.lose("d-3");
      assertEquals(zone.actions, List.of());
    }

    @Test
    public void movesADarkDomainsReplicaWhereThereIsRoom() {
      Zone zone = Zone.ofWhole(4, 2, 0);
      for (int i = 0; i < 2 * SIZE; i++) {
        zone.lose("d-" + i);
      }
      zone.pass(BEYOND_PATIENCE);
      zone.addDomain("e", SIZE + 1);
      zone.settle();
      assertTrue(zone.isWhole("r0") ^ zone.isWhole("r1"));
    }
  }

  /** Tests of a planner that starts with replicas of an earlier one. */
  public static class Restoring {

    @Test
    public void takesOverMembersWithoutActions() {
      Zone zone = new Zone(4);
      zone.addDomain("d", SIZE + 1);
      List<InstanceId> members =
          List.of(new InstanceId("d-3"), new InstanceId("d-1"), new InstanceId("d-2"));
      ReplicaId replica = new ReplicaId("r0");
      zone.planner.handle(new RepairEvent.ReplicaWanted(replica, SIZE, 0));
      zone.planner.handle(new RepairEvent.ReplicaFormed(replica, members, 0));
      assertEquals(zone.planner.getMembers(replica), members);
      assertEquals(zone.planner.getFreeCount(new FabricDomain("d"), 0), 1);
    }

    @Test
    public void freesTheMembersOfAnUnwantedReplica() {
      Zone zone = Zone.ofWhole(4, 1, 0);
      zone.tell(new RepairEvent.ReplicaUnwanted(new ReplicaId("r0"), 0));
      zone.want("r1");
      zone.settle();
      assertTrue(zone.isWhole("r1"));
    }
  }
}
