package io.fireflyshed.transport.formation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
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
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.EvacuationChanges;
import io.fireflyshed.state.traffic.ModelProfile;
import io.fireflyshed.state.traffic.RouteTable;
import io.fireflyshed.state.traffic.ServiceProfile;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.transport.control.LeaseStore;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link FormationController} in virtual time with two processes of a zone. */
public class FormationControllerTest {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final ServiceName SERVICE = new ServiceName("models");
  private static final Duration STEP = Duration.ofMillis(50);
  private static final int MAX_STEPS = 100;
  private static final Duration LEASE_LENGTH = Duration.ofMillis(2500);

  /** An order that was sent. */
  private record SentOrder(long epoch, CompletableFuture<OrderReply> reply) {}

  /** Reports one idle engine and records orders without replying to them. */
  private final class Engines implements EngineControl {

    @Override
    public CompletableFuture<EngineReport> report(Target target) {
      reports++;
      return CompletableFuture.completedFuture(
          new EngineReport(
              1, 0, false, 0, 0, 0, 1, new FabricDomain("d"), Set.of(), Optional.empty()));
    }

    @Override
    public CompletableFuture<OrderReply> order(
        Target target, EngineOrder order, long fencingToken, long orderSequence) {
      SentOrder sent = new SentOrder(fencingToken, new CompletableFuture<>());
      orders.add(sent);
      return sent.reply();
    }
  }

  private final List<SentOrder> orders = new ArrayList<>();
  private int reports;
  private boolean isCutOff;
  private EvacuatedZones evacuated;
  private ManualClock clock;
  private ManualScheduler control;
  private LeaseTable table;

  /** The time for which the first process is suspended when it next lists the targets. */
  private Duration suspension;

  private FormationController first;
  private FormationController second;

  /** Starts two processes, of which the first holds the lease. */
  @BeforeMethod
  public void setUp() {
    orders.clear();
    reports = 0;
    isCutOff = false;
    evacuated = new EvacuatedZones();
    clock = new ManualClock();
    control = new ManualScheduler(clock);
    table = new LeaseTable();
    suspension = Duration.ZERO;
    first = newController("first");
    first.start();
    advance(Duration.ofMillis(200));
    second = newController("second");
    second.start();
  }

  private FormationController newController(String name) {
    LeaseTiming timing =
        new LeaseTiming(LEASE_LENGTH, Duration.ofMillis(800), Duration.ofMillis(1250), 0.02);
    return new FormationController(
        ZONE,
        new ZoneLease(new PeerId(name), timing, RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
        new LeaseStore(table, ZONE),
        new Engines(),
        this::listTargets,
        () -> Optional.of(newConfiguration()),
        FormationSettings.of(Duration.ofSeconds(5), 1),
        () -> true,
        () -> isCutOff,
        evacuated,
        Optional::empty,
        control,
        clock);
  }

  private List<Target> listTargets() {
    clock.advance(suspension);
    suspension = Duration.ZERO;
    return List.of(
        new Target(
            new InstanceId("e"),
            SERVICE,
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            ZONE,
            false,
            18,
            1,
            Optional.empty()));
  }

  static TrafficConfiguration newConfiguration() {
    ModelProfile model =
        new ModelProfile("m", 1, 1, 1, Duration.ofSeconds(10), Duration.ofSeconds(1));
    EngineProfile profile =
        new EngineProfile(
            18,
            Duration.ofMillis(6),
            Duration.ofNanos(100_000),
            6,
            56_100,
            2048,
            150,
            100,
            8,
            Duration.ofMillis(300),
            Duration.ofMillis(200),
            List.of(model));
    return new TrafficConfiguration(
        1,
        new RouteTable(List.of()),
        Map.of(SERVICE, new ServiceProfile(SERVICE, Optional.empty(), 400, Optional.of(profile))),
        Map.of(),
        false,
        new ClientLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
  }

  private void advance(Duration duration) {
    for (Duration passed = Duration.ZERO;
        passed.compareTo(duration) < 0;
        passed = passed.plus(STEP)) {
      control.advance(STEP);
    }
  }

  /**
   * Lets time pass until the first order, which the first process sends.
   *
   * @return the number of steps
   */
  private int advanceToTheFirstOrder() {
    int steps = 0;
    while (orders.isEmpty()) {
      assertTrue(steps++ < MAX_STEPS, "no order was sent");
      advance(STEP);
    }
    assertEquals(orders.size(), 1);
    assertEquals(orders.get(0).epoch(), 1);
    return steps;
  }

  @Test
  public void leaseIsReleasedOnlyAfterTheRepliesToAllOrders() {
    advanceToTheFirstOrder();
    CompletableFuture<Void> released = first.release();
    advance(Duration.ofMillis(400));
    assertFalse(released.isDone());
    assertEquals(orders.size(), 1, "orders while one of the predecessor is under way");
    orders.get(0).reply().complete(OrderReply.UNKNOWN);
    advance(STEP);
    assertTrue(released.isDone());
    advance(Duration.ofSeconds(3));
    assertEquals(orders.size(), 2);
    assertEquals(orders.get(1).epoch(), 2);
  }

  @Test
  public void releaseWithoutOrdersUnderWayIsImmediate() {
    CompletableFuture<Void> released = first.release();
    control.runDue();
    assertTrue(released.isDone());
    advance(Duration.ofSeconds(3));
    assertEquals(orders.get(0).epoch(), 2);
  }

  @Test
  public void cutOffProcessNeitherOrdersNorAsksForReports() {
    int steps = advanceToTheFirstOrder();
    setUp();
    advance(STEP.multipliedBy(steps - 1));
    isCutOff = true;
    int reportsBefore = reports;
    first.onStalled(new InstanceId("e"));
    advance(Duration.ofSeconds(3));
    assertEquals(orders, List.of(), "orders while cut off");
    assertEquals(reports, reportsBefore, "requested reports while cut off");
  }

  @Test
  public void processStartsFromFreshReportsAfterACut() {
    int steps = advanceToTheFirstOrder();
    setUp();
    advance(STEP.multipliedBy(steps - 1));
    isCutOff = true;
    advance(Duration.ofSeconds(3));
    isCutOff = false;
    int reportsBefore = reports;
    advance(STEP);
    assertTrue(reports > reportsBefore, "no report was requested at once");
    assertEquals(orders, List.of(), "orders from old reports");
    advanceToTheFirstOrder();
  }

  @Test
  public void evacuatedZoneGetsNoOrdersUntilItIsTakenBack() {
    int steps = advanceToTheFirstOrder();
    setUp();
    advance(STEP.multipliedBy(steps - 1));
    evacuated.apply(new EvacuationChanges(false, Set.of(ZONE), Set.of()), clock.nanoTime());
    advance(Duration.ofSeconds(20));
    assertEquals(orders, List.of(), "orders in an evacuated zone");
    evacuated.apply(new EvacuationChanges(false, Set.of(), Set.of(ZONE)), clock.nanoTime());
    int reportsBefore = reports;
    advance(STEP);
    assertTrue(reports > reportsBefore, "no report was requested at once");
    advanceToTheFirstOrder();
  }

  @Test
  public void processWhoseLeaseLapsesDuringAPassSendsNoOrder() {
    int steps = advanceToTheFirstOrder();
    setUp();
    advance(STEP.multipliedBy(steps - 1));
    assertEquals(orders, List.of());
    suspension = LEASE_LENGTH;
    advance(STEP);
    assertEquals(orders, List.of(), "orders under a lapsed lease");
  }
}
