package io.fireflyshed.transport.formation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.coordination.formation.FormationSettings;
import io.fireflyshed.coordination.lease.LeaseTiming;
import io.fireflyshed.coordination.lease.ZoneLease;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.EngineControl;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.control.LeaseStore;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no two coordinators order with the same epoch if the table service is restored from a
 * copy that lacks the epochs of some of them.
 */
public class RestoredLeaseTest {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration LEASE_LENGTH = Duration.ofMillis(2500);
  private static final Duration MAX_ORDER_TIME = Duration.ofSeconds(10);

  /** What happens to the coordinator that is at work when the table service is restored. */
  private enum Fate {
    KILLED,
    FROZEN,
    STAYS
  }

  private record SentOrder(String process, long epoch, long sentNanos) {}

  /** An entry that may be stopped or suspended. */
  private final class Process implements EngineControl {
    private final String name;
    private final ManualScheduler control = new ManualScheduler(clock);
    private final FormationController controller;
    private boolean isRunning = true;

    Process(String name) {
      this.name = name;
      LeaseTiming timing =
          new LeaseTiming(LEASE_LENGTH, Duration.ofMillis(800), Duration.ofMillis(600), 0.02);
      controller =
          new FormationController(
              ZONE,
              new ZoneLease(
                  new PeerId(name),
                  timing,
                  RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode())),
              new LeaseStore(table, ZONE),
              this,
              RestoredLeaseTest::listTargets,
              () -> Optional.of(FormationControllerTest.newConfiguration()),
              FormationSettings.of(Duration.ofSeconds(5), 1),
              () -> true,
              () -> false,
              new EvacuatedZones(),
              Optional::empty,
              control,
              clock);
      controller.start();
    }

    @Override
    public CompletableFuture<EngineReport> report(Target target) {
      return CompletableFuture.completedFuture(
          new EngineReport(
              1, 0, false, 0, 0, 0, 1, new FabricDomain("d"), Set.of(), Optional.empty()));
    }

    @Override
    public CompletableFuture<OrderReply> order(
        Target target, EngineOrder order, long fencingToken, long orderSequence) {
      orders.add(new SentOrder(name, fencingToken, clock.nanoTime()));
      return CompletableFuture.completedFuture(OrderReply.CONFLICT);
    }
  }

  private ManualClock clock;
  private LeaseTable table;
  private final List<Process> processes = new ArrayList<>();
  private final List<SentOrder> orders = new ArrayList<>();

  /** Creates an empty table without processes. */
  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    table = new LeaseTable();
    processes.clear();
    orders.clear();
  }

  private static List<Target> listTargets() {
    return List.of(
        new Target(
            new InstanceId("e"),
            new ServiceName("models"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            ZONE,
            false,
            18,
            1,
            Optional.empty()));
  }

  private Process start(String name) {
    Process process = new Process(name);
    processes.add(process);
    return process;
  }

  private void advance(Duration duration) {
    for (long step = 0; step < duration.dividedBy(STEP); step++) {
      clock.advance(STEP);
      processes.stream().filter(p -> p.isRunning).forEach(p -> p.control.runDue());
    }
  }

  private void awaitOrder(Process process) {
    long steps = MAX_ORDER_TIME.dividedBy(STEP);
    while (orders.stream().noneMatch(order -> order.process().equals(process.name))) {
      assertTrue(steps-- > 0, process.name + " sent no order");
      advance(STEP);
    }
  }

  /** Hands the lease over to a new process, as at a restart in turn. */
  private Process succeed(Process holder, String name) {
    holder.controller.release();
    advance(STEP);
    holder.isRunning = false;
    Process successor = start(name);
    awaitOrder(successor);
    return successor;
  }

  private void apply(Fate fate, Process holder) {
    holder.isRunning = fate == Fate.STAYS;
  }

  private void assertUniqueEpochs() {
    Map<Long, String> processByEpoch = new HashMap<>();
    for (SentOrder order : orders) {
      String known = processByEpoch.putIfAbsent(order.epoch(), order.process());
      assertTrue(
          known == null || known.equals(order.process()),
          known + " and " + order.process() + " ordered with epoch " + order.epoch());
    }
    List<Long> epochs = orders.stream().map(SentOrder::epoch).toList();
    assertEquals(epochs, epochs.stream().sorted().toList(), "epochs in the order of time");
  }

  /** Provides how many coordinators the copy lacks and what happens to the last of them. */
  @DataProvider
  public Object[][] losses() {
    List<Object[]> losses = new ArrayList<>();
    for (Fate fate : Fate.values()) {
      for (int successions : new int[] {1, 2, 5}) {
        losses.add(new Object[] {successions, fate});
      }
    }
    return losses.toArray(Object[][]::new);
  }

  // Guards against two coordinators with one epoch, and so with the same names of replicas.
  @Test(dataProvider = "losses")
  public void epochThatTheTableServiceLostIsNotUsedAgain(int successions, Fate fate) {
    Process holder = start("holder");
    awaitOrder(holder);
    LeaseTable.Copy copy = table.copy();
    for (int i = 0; i < successions; i++) {
      holder = succeed(holder, "successor-" + i);
    }
    table.restore(copy);
    apply(fate, holder);
    Process next = start("next");
    advance(Duration.ofSeconds(4));
    holder.isRunning |= fate == Fate.FROZEN;
    advance(Duration.ofSeconds(10));
    assertUniqueEpochs();
    if (fate == Fate.KILLED) {
      awaitOrder(next);
    }
  }

  // Guards against an epoch that is used again after the second of two restores.
  @Test
  public void epochsLostByTwoRestoresInTurnAreNotUsedAgain() {
    Process first = start("first");
    awaitOrder(first);
    LeaseTable.Copy copy = table.copy();
    Process second = succeed(first, "second");
    table.restore(copy);
    second.isRunning = false;
    Process third = start("third");
    awaitOrder(third);
    table.restore(copy);
    third.isRunning = false;
    Process fourth = start("fourth");
    awaitOrder(fourth);
    assertUniqueEpochs();
  }

  // Guards against an epoch that is used again since the copy has no lease at all.
  @Test
  public void epochIsNotUsedAgainIfTheCopyHasNoLease() {
    LeaseTable.Copy copy = table.copy();
    Process first = start("first");
    awaitOrder(first);
    table.restore(copy);
    first.isRunning = false;
    awaitOrder(start("second"));
    assertUniqueEpochs();
  }

  // Guards against two holders at the same time after a restore brought back a released lease.
  @Test
  public void leaseThatTheCopyShowsAsReleasedIsTakenOverOnlyAfterItsLength() {
    Process first = start("first");
    awaitOrder(first);
    first.controller.release();
    advance(STEP);
    first.isRunning = false;
    LeaseTable.Copy copy = table.copy();
    Process second = start("second");
    awaitOrder(second);
    table.restore(copy);
    second.isRunning = false;
    long restoredNanos = clock.nanoTime();
    Process third = start("third");
    awaitOrder(third);
    long waitedNanos = orders.get(orders.size() - 1).sentNanos() - restoredNanos;
    assertTrue(waitedNanos >= LEASE_LENGTH.toNanos(), "ordered after " + waitedNanos + " ns");
    assertUniqueEpochs();
  }

  // Guards against a change of the coordinator without need.
  @Test
  public void holderWhoseRowTheCopyHasGoesOnWithItsEpoch() {
    Process holder = start("holder");
    awaitOrder(holder);
    start("other");
    LeaseTable.Copy copy = table.copy();
    advance(Duration.ofSeconds(3));
    table.restore(copy);
    advance(Duration.ofSeconds(10));
    assertTrue(
        orders.stream().allMatch(o -> o.process().equals("holder") && o.epoch() == 1),
        orders.toString());
  }

  // Guards against a slow hand-over, and against gaps in the epochs, after a restore is over.
  @Test
  public void epochsCountUpByOneAgainAfterTheFirstTakeoverSinceARestore() {
    Process first = start("first");
    awaitOrder(first);
    table.restore(table.copy());
    Process second = succeed(first, "second");
    Process third = succeed(second, "third");
    long epoch = orders.get(orders.size() - 1).epoch();
    succeed(third, "fourth");
    assertEquals(orders.get(orders.size() - 1).epoch(), epoch + 1);
    assertUniqueEpochs();
  }
}
