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

  private static DissolveTiming newTiming(boolean isFencing) {
    return new DissolveTiming(
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        Duration.ofSeconds(90),
        0,
        isFencing);
  }

  private static long seconds(long count) {
    return Duration.ofSeconds(count).toNanos();
  }

  private static MemberHealth newHealth(long generation) {
    Optional<ReplicaId> replica = generation == 0 ? Optional.empty() : Optional.of(ASSIGNMENT.id());
    return new MemberHealth(MEMBER, new BootId("b"), replica, generation, true, false);
  }

  /** Tests of engines that ignore fencing numbers. */
  public static class Ignoring {

    @Test
    public void believesOnlyAProbeSentAfterTheQuarantine() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onHealth(newHealth(0), seconds(6) - 1, seconds(6));
      assertFalse(tracker.isFree(seconds(100)));
      tracker.onHealth(newHealth(0), seconds(6), seconds(7));
      assertFalse(tracker.isFree(seconds(10) - 1));
      assertTrue(tracker.isFree(seconds(10)));
    }

    @Test
    public void waitsWhileAMemberSaysThatItRuns() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onHealth(newHealth(4), seconds(20), seconds(20));
      assertFalse(tracker.isFree(seconds(100)));
    }

    @Test
    public void waitsForItsOwnOrdersToRunOut() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onHealth(newHealth(0), seconds(6), seconds(6));
      tracker.onOrderSent(seconds(8));
      assertFalse(tracker.isFree(seconds(14) - 1));
      assertTrue(tracker.isFree(seconds(14)));
    }

    @Test
    public void doesNotTrustAnAcceptedOrder() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onUnloadAccepted(MEMBER, seconds(1));
      assertFalse(tracker.isFree(seconds(100)));
    }
  }

  /** Tests of engines that refuse old fencing numbers. */
  public static class Fencing {

    @Test
    public void trustsAnAcceptedOrderButNotAProbe() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(true), 0);
      tracker.onHealth(newHealth(0), seconds(50), seconds(50));
      assertFalse(tracker.isFree(seconds(60)));
      tracker.onUnloadAccepted(MEMBER, seconds(60));
      assertFalse(tracker.isFree(seconds(63) - 1));
      assertTrue(tracker.isFree(seconds(63)));
    }
  }

  /** Tests of instances that the platform has stopped. */
  public static class Gone {

    @Test
    public void waitsForTheEvidenceEvenThen() {
      DissolveTracker tracker = new DissolveTracker(ASSIGNMENT, newTiming(false), 0);
      tracker.onAllGone(seconds(90));
      assertFalse(tracker.isFree(seconds(93) - 1));
      assertTrue(tracker.isFree(seconds(93)));
    }
  }
}
