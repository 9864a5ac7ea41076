package io.fireflyshed.coordination.assignment;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link DissolveTracker}. */
public class DissolveTrackerTest {

  private static final InstanceId MEMBER = new InstanceId("i1");
  private static final Assignment ASSIGNMENT =
      new Assignment(
          new ReplicaId("r1"),
          new ServiceName("cards"),
          4,
          List.of(newInstance(MEMBER), newInstance(new InstanceId("i2"))));

  private static InstanceRecord newInstance(InstanceId id) {
    return new InstanceRecord(
        id,
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("a"),
        new FabricDomain("d"),
        8,
        false,
        Optional.empty());
  }

  private static DissolveTiming newTiming(boolean isFencingEnforced) {
    return new DissolveTiming(
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        Duration.ofSeconds(90),
        0,
        isFencingEnforced);
  }

  private static long seconds(long count) {
    return Duration.ofSeconds(count).toNanos();
  }

  private static MemberHealth newHealth(long generation) {
    Optional<ReplicaId> replica = generation == 0 ? Optional.empty() : Optional.of(ASSIGNMENT.id());
    return new MemberHealth(MEMBER, new BootId("b"), replica, generation, true, false);
  }

  /** Tests with engines that ignore fencing tokens. */
  public static class WithoutFencing {

    @Test
    public void acceptsOnlyProbesSentAfterQuarantine() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onHealth(newHealth(0), seconds(6) - 1, seconds(6));
      assertFalse(tracker.isReleasable(seconds(100)));
      tracker.onHealth(newHealth(0), seconds(6), seconds(7));
      assertFalse(tracker.isReleasable(seconds(10) - 1));
      assertTrue(tracker.isReleasable(seconds(10)));
    }

    @Test
    public void waitsWhileMemberReportsRunning() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onHealth(newHealth(4), seconds(20), seconds(20));
      assertFalse(tracker.isReleasable(seconds(100)));
    }

    @Test
    public void waitsForSentOrdersToExpire() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onHealth(newHealth(0), seconds(6), seconds(6));
      tracker.onOrderSent(seconds(8));
      assertFalse(tracker.isReleasable(seconds(14) - 1));
      assertTrue(tracker.isReleasable(seconds(14)));
    }

    @Test
    public void ignoresAcceptedUnloadOrder() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onUnloadAccepted(MEMBER, seconds(1));
      assertFalse(tracker.isReleasable(seconds(100)));
    }
  }

  /** Tests with engines that reject outdated fencing tokens. */
  public static class WithFencing {

    @Test
    public void acceptsUnloadOrderButNotProbe() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(true), 0);
      tracker.onHealth(newHealth(0), seconds(50), seconds(50));
      assertFalse(tracker.isReleasable(seconds(60)));
      tracker.onUnloadAccepted(MEMBER, seconds(60));
      assertFalse(tracker.isReleasable(seconds(63) - 1));
      assertTrue(tracker.isReleasable(seconds(63)));
    }
  }

  /** Tests with instances that the platform has stopped. */
  public static class StoppedInstances {

    @Test
    public void waitsForEvidenceToExpire() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onAllStopped(seconds(90));
      assertFalse(tracker.isReleasable(seconds(93) - 1));
      assertTrue(tracker.isReleasable(seconds(93)));
    }
  }
}
