package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TargetFollower} in virtual time against a registry that the test answers. */
public class TargetFollowerTest {

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final String MODEL = "large";

  /** The longest pause between two readings. */
  private static final Duration READING = Duration.ofMillis(600);

  /** A reading that the follower asked for. */
  private record Asked(boolean isWhole, CompletableFuture<TargetChanges> answer) {}

  private final List<Asked> asked = new ArrayList<>();
  private ManualScheduler control;
  private TargetFollower follower;
  private long version;

  /** Starts a follower. */
  @BeforeMethod
  public void setUp() {
    asked.clear();
    version = 0;
    ManualClock clock = new ManualClock();
    control = new ManualScheduler(clock);
    TargetRegistry registry =
        new TargetRegistry() {
          @Override
          public CompletableFuture<TargetChanges> readAll() {
            return ask(true);
          }

          @Override
          public CompletableFuture<TargetChanges> readChanges(long after) {
            return ask(false);
          }
        };
    follower = new TargetFollower(registry, control, clock, changed -> {});
    follower.start();
    control.runDue();
  }

  private CompletableFuture<TargetChanges> ask(boolean isWhole) {
    asked.add(new Asked(isWhole, new CompletableFuture<>()));
    return getLast().answer();
  }

  private Asked getLast() {
    return asked.get(asked.size() - 1);
  }

  private void list(Target... targets) {
    version++;
    boolean isWhole = getLast().isWhole();
    getLast().answer().complete(new TargetChanges(version, isWhole, List.of(targets), Set.of()));
    control.advance(READING);
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

  private List<String> getTargets() {
    return follower.getTargets(SERVICE).stream().map(t -> t.id().value()).toList();
  }

  private List<String> getHeads() {
    return follower.getHeads(SERVICE, MODEL).stream().map(t -> t.id().value()).toList();
  }

  @Test
  public void leavingTargetsGetNoNewWorkButAreKnown() {
    list(newTarget("one", false, null), newTarget("two", true, null));
    assertEquals(getTargets(), List.of("one"));
    assertEquals(follower.getAll().size(), 2);
  }

  @Test
  public void onlyOpenHeadsThatStayServe() {
    list(
        newTarget("open", false, MembershipPhase.OPEN),
        newTarget("ready", false, MembershipPhase.READY),
        newTarget("closing", false, MembershipPhase.CLOSING),
        newTarget("leaving", true, MembershipPhase.OPEN));
    assertEquals(getHeads(), List.of("open"));
  }

  @Test
  public void nothingIsReadBeforeTheFirstAnswer() {
    assertFalse(follower.isRead());
    list();
    assertTrue(follower.isRead());
  }

  @Test
  public void allIsReadAgainWhenTheHistoryWasDropped() {
    list(newTarget("one", false, null));
    assertFalse(getLast().isWhole());
    getLast().answer().completeExceptionally(new HistoryLostException("read", "store"));
    control.advance(READING);
    assertTrue(getLast().isWhole());
  }

  @Test
  public void targetsStayWhileTheRegistryIsSilent() {
    list(newTarget("one", false, null));
    for (int i = 0; i < 10; i++) {
      getLast().answer().completeExceptionally(new IllegalStateException("no answer"));
      control.advance(READING);
    }
    assertEquals(getTargets(), List.of("one"));
  }
}
