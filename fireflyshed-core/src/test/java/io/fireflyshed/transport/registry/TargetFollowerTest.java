package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.target.TargetRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TargetFollower} in virtual time with a registry that the test controls. */
public class TargetFollowerTest {

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final String MODEL = "large";

  /** Longer than the delay between two reads. */
  private static final Duration READ_INTERVAL = Duration.ofMillis(600);

  /** Holds a read that the follower requested and the test is to complete. */
  private record PendingRead(boolean isFullRead, CompletableFuture<TargetChanges> result) {}

  private final List<PendingRead> reads = new ArrayList<>();
  private ManualScheduler control;
  private Consumer<Set<InstanceId>> listener;
  private TargetFollower follower;
  private long version;

  /** Starts a follower, whose first read remains pending. */
  @BeforeMethod
  public void setUp() {
    reads.clear();
    version = 0;
    ManualClock clock = new ManualClock();
    control = new ManualScheduler(clock);
    TargetRegistry registry =
        new TargetRegistry() {
          @Override
          public CompletableFuture<TargetChanges> readAll() {
            return newRead(true);
          }

          @Override
          public CompletableFuture<TargetChanges> readChanges(long after) {
            return newRead(false);
          }
        };
    listener = changed -> {};
    follower =
        new TargetFollower(
            registry,
            Duration.ofMillis(500),
            control,
            clock,
            changed -> listener.accept(changed),
            () -> {});
    follower.start();
    control.runDue();
  }

  private CompletableFuture<TargetChanges> newRead(boolean isFullRead) {
    reads.add(new PendingRead(isFullRead, new CompletableFuture<>()));
    return getLastRead().result();
  }

  private PendingRead getLastRead() {
    return reads.get(reads.size() - 1);
  }

  private void completeRead(Target... targets) {
    version++;
    boolean isFullRead = getLastRead().isFullRead();
    getLastRead()
        .result()
        .complete(new TargetChanges(version, isFullRead, List.of(targets), Set.of()));
    control.advance(READ_INTERVAL);
  }

  private static Target newTarget(String id, boolean isLeaving, MembershipPhase phase) {
    Optional<Membership> membership =
        Optional.ofNullable(phase)
            .map(p -> new Membership(ReplicaNameUtils.newId(MODEL, 7), 7, 0, p));
    return new Target(
        new InstanceId(id),
        SERVICE,
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("a"),
        isLeaving,
        1,
        1,
        membership);
  }

  private List<String> getTargetIds() {
    return follower.getTargets(SERVICE).stream().map(t -> t.id().value()).toList();
  }

  private List<String> getHeadIds() {
    return follower.getHeads(SERVICE, MODEL).stream().map(t -> t.id().value()).toList();
  }

  @Test
  public void leavingTargetsReceiveNoRequestsButAreListed() {
    completeRead(newTarget("one", false, null), newTarget("two", true, null));
    assertEquals(getTargetIds(), List.of("one"));
    assertEquals(follower.getAll().size(), 2);
  }

  @Test
  public void onlyOpenHeadsThatAreNotLeavingServe() {
    completeRead(
        newTarget("open", false, MembershipPhase.OPEN),
        newTarget("ready", false, MembershipPhase.READY),
        newTarget("closing", false, MembershipPhase.CLOSING),
        newTarget("leaving", true, MembershipPhase.OPEN));
    assertEquals(getHeadIds(), List.of("open"));
  }

  @Test
  public void targetsAreReadAfterTheFirstResponse() {
    assertFalse(follower.isRead());
    completeRead();
    assertTrue(follower.isRead());
  }

  @Test
  public void fullReadFollowsDroppedHistory() {
    completeRead(newTarget("one", false, null));
    assertFalse(getLastRead().isFullRead());
    getLastRead().result().completeExceptionally(new HistoryLostException("read", "store"));
    control.advance(READ_INTERVAL);
    assertTrue(getLastRead().isFullRead());
  }

  @Test
  public void registryIsFollowedAfterAListenerFailed() {
    listener =
        changed -> {
          throw new IllegalStateException("listener failed");
        };
    completeRead(newTarget("one", false, null));
    listener = changed -> {};
    assertTrue(getLastRead().isFullRead());
    completeRead(newTarget("one", false, null), newTarget("two", false, null));
    assertEquals(Set.copyOf(getTargetIds()), Set.of("one", "two"));
  }

  @Test
  public void targetsRemainDuringAnOutageOfTheRegistry() {
    completeRead(newTarget("one", false, null));
    for (int i = 0; i < 10; i++) {
      getLastRead().result().completeExceptionally(new IllegalStateException("no response"));
      control.advance(READ_INTERVAL);
    }
    assertEquals(getTargetIds(), List.of("one"));
  }
}
