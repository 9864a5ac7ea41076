package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.ReachabilityMonitor;
import io.fireflyshed.coordination.placement.ReachabilitySettings;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.target.Target;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests the connection attempts of {@link ReachabilityWatch}. */
public class ReachabilityWatchTest {

  /** The longest time from the return of the path to the use of all targets. */
  private static final Duration RETURN_TIME = ReachabilityWatch.PROBE_INTERVAL.multipliedBy(2);

  private final List<Target> targets =
      List.of(
          ForwardFixtures.newTarget("one"),
          ForwardFixtures.newTarget("two"),
          ForwardFixtures.newTarget("three"));

  /** The targets that take requests. */
  private List<Target> listed;

  private final List<Target> probed = new ArrayList<>();
  private VirtualTimeScheduler scheduler;
  private SimpleMeterRegistry registry;
  private TargetPlacer placer;
  private ReachabilityWatch watch;
  private boolean isCut;

  /** Starts the watch of an entry that reaches its targets. */
  @BeforeMethod
  public void setUp() {
    scheduler = VirtualTimeScheduler.getOrSet();
    probed.clear();
    listed = targets;
    isCut = false;
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    registry = new SimpleMeterRegistry();
    placer =
        new TargetPlacer(
            PlacementSettings.ofDefaults(),
            ForwardFixtures.ZONE,
            random,
            ForwardFixtures.newSchedule());
    watch =
        new ReachabilityWatch(
            new ReachabilityMonitor(ReachabilitySettings.ofDefaults(), nanoTime()),
            () -> listed,
            () -> targets,
            placer,
            this::connect,
            random,
            this::nanoTime,
            registry);
    watch.start();
    scheduler.advanceTimeBy(Duration.ofSeconds(1));
  }

  /** Stops the watch. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    watch.stop();
    VirtualTimeScheduler.reset();
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private Mono<Void> connect(Target target) {
    return Mono.defer(
        () -> {
          probed.add(target);
          return isCut ? Mono.error(new ConnectException("timed out")) : Mono.empty();
        });
  }

  private void cut() {
    isCut = true;
    for (Target target : targets) {
      placer.onUnreachable(target.id(), nanoTime());
      placer.suspect(target.id(), nanoTime());
      watch.onFailure(target.id());
    }
  }

  private Placement place() {
    return placer.place(RequestDescriptor.ofPool("pool", false), targets, Set.of(), nanoTime());
  }

  @Test
  public void noConnectionIsAttemptedWhileTargetsAreReached() {
    watch.onFailure(targets.get(0).id());
    scheduler.advanceTimeBy(Duration.ofSeconds(60));
    assertEquals(probed, List.of());
  }

  @Test
  public void isolatedEntryAttemptsOneConnectionInEachInterval() {
    cut();
    assertTrue(watch.isIsolated());
    scheduler.advanceTimeBy(ReachabilityWatch.PROBE_INTERVAL.multipliedBy(10));
    assertEquals(probed.size(), 10);
    assertTrue(watch.isIsolated());
    assertEquals(registry.get("fireflyshed.reachability.isolated").gauge().value(), 1.0);
  }

  // Guards against an isolation that lasts for good since the last head is gone.
  @Test
  public void isolationEndsThroughATargetThatTakesNoRequestsIfNoneDoes() {
    listed = targets.subList(0, 1);
    watch.onFailure(targets.get(0).id());
    assertTrue(watch.isIsolated());
    listed = List.of();
    scheduler.advanceTimeBy(RETURN_TIME);
    assertFalse(watch.isIsolated());
  }

  @Test
  public void targetsThatTakeNoRequestsAreNotProbedBesideOthers() {
    listed = targets.subList(0, 1);
    isCut = true;
    watch.onFailure(targets.get(0).id());
    scheduler.advanceTimeBy(Duration.ofSeconds(10));
    assertEquals(Set.copyOf(probed), Set.copyOf(listed));
  }

  @Test
  public void targetsAreUsedAgainSoonAfterThePathIsBack() {
    cut();
    scheduler.advanceTimeBy(Duration.ofSeconds(3));
    assertTrue(place() instanceof Placement.Refuse);
    isCut = false;
    scheduler.advanceTimeBy(RETURN_TIME);
    assertFalse(watch.isIsolated());
    assertTrue(place() instanceof Placement.Send);
    probed.clear();
    scheduler.advanceTimeBy(Duration.ofSeconds(60));
    assertEquals(probed, List.of());
  }

  @Test
  public void signOfLifeEndsTheIsolationAtOnce() {
    cut();
    watch.onSignOfLife();
    assertFalse(watch.isIsolated());
    assertTrue(watch.isImpaired());
  }

  @Test
  public void connectionToAListeningTargetSucceeds() throws IOException {
    VirtualTimeScheduler.reset();
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      new TcpTargetProbe().connect(newTarget(server.getLocalPort())).block(Duration.ofSeconds(5));
    }
  }

  @Test
  public void connectionThatIsClosedAtOnceFails() throws Exception {
    assertClosedConnectionFails(Duration.ZERO);
  }

  @Test
  public void connectionThatIsResetAfterAMomentFails() throws Exception {
    assertClosedConnectionFails(Duration.ofMillis(200));
  }

  private static void assertClosedConnectionFails(Duration openTime) throws Exception {
    VirtualTimeScheduler.reset();
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      Thread acceptor = new Thread(() -> closeFirst(server, openTime), "acceptor");
      acceptor.start();
      Mono<Void> attempt =
          new TcpTargetProbe(Duration.ofSeconds(5)).connect(newTarget(server.getLocalPort()));
      expectThrows(RuntimeException.class, () -> attempt.block(Duration.ofSeconds(10)));
      acceptor.join();
    }
  }

  private static void closeFirst(ServerSocket server, Duration openTime) {
    try (Socket socket = server.accept()) {
      socket.setSoLinger(true, 0);
      Thread.sleep(openTime.toMillis());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException("the test server failed", e);
    }
  }

  @Test
  public void connectionToAClosedPortFails() throws IOException {
    VirtualTimeScheduler.reset();
    int port;
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      port = server.getLocalPort();
    }
    Mono<Void> attempt = new TcpTargetProbe().connect(newTarget(port));
    expectThrows(RuntimeException.class, () -> attempt.block(Duration.ofSeconds(5)));
  }

  private static Target newTarget(int port) {
    return ForwardFixtures.newTarget(
        "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }
}
