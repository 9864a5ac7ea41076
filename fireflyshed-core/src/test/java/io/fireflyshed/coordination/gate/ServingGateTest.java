package io.fireflyshed.coordination.gate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.drain.DrainTracker;
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

/** Tests {@link ServingGate}. */
public class ServingGateTest {

  private static final Duration MAX_AGE = Duration.ofSeconds(2);
  private static final ReplicaId REPLICA = new ReplicaId("r1");
  private static final InstanceId FIRST = new InstanceId("i1");
  private static final InstanceId SECOND = new InstanceId("i2");
  private static final Assignment ASSIGNMENT =
      new Assignment(
          REPLICA, new ServiceName("cards"), 7, List.of(newInstance(FIRST), newInstance(SECOND)));

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

  private static MemberHealth newHealth(InstanceId id, String boot, long generation) {
    return new MemberHealth(id, new BootId(boot), Optional.of(REPLICA), generation, true, false);
  }

  private static ServingGate newOpenGate() {
    return newOpenGate(new DrainTracker());
  }

  private static ServingGate newOpenGate(DrainTracker drain) {
    ServingGate gate = new ServingGate(MAX_AGE, drain);
    gate.onHealth(newHealth(FIRST, "b1", 7), 0);
    gate.onHealth(newHealth(SECOND, "b2", 7), 100);
    return gate;
  }

  /** Tests of evidence and its age. */
  public static class Evidence {

    @Test
    public void opensOnlyWithEvidenceFromEveryMember() {
      ServingGate gate = new ServingGate(MAX_AGE, new DrainTracker());
      gate.onHealth(newHealth(FIRST, "b1", 7), 0);
      assertFalse(gate.getOpen(ASSIGNMENT, 0).isPresent());
      gate.onHealth(newHealth(SECOND, "b2", 7), 0);
      assertTrue(gate.getOpen(ASSIGNMENT, 0).isPresent());
    }

    @Test
    public void expiresWithOldestProbe() {
      ServingGate gate = newOpenGate();
      long expiry = MAX_AGE.toNanos();
      assertEquals(gate.getOpen(ASSIGNMENT, expiry - 1).get().expiryNanos(), expiry);
      assertFalse(gate.getOpen(ASSIGNMENT, expiry).isPresent());
    }

    @Test
    public void rejectsOtherGeneration() {
      ServingGate gate = newOpenGate();
      gate.onHealth(newHealth(SECOND, "b2", 6), 200);
      assertFalse(gate.getOpen(ASSIGNMENT, 300).isPresent());
    }

    @Test
    public void closesAtOnceOnFailure() {
      ServingGate gate = newOpenGate();
      gate.onFailure(SECOND, 200);
      assertFalse(gate.getOpen(ASSIGNMENT, 200).isPresent());
    }

    @Test
    public void ignoresAnswerToProbeSentBeforeFailure() {
      ServingGate gate = newOpenGate();
      gate.onFailure(SECOND, 200);
      gate.onHealth(newHealth(SECOND, "b2", 7), 199);
      assertFalse(gate.getOpen(ASSIGNMENT, 300).isPresent());
      gate.onHealth(newHealth(SECOND, "b2", 7), 200);
      assertTrue(gate.getOpen(ASSIGNMENT, 300).isPresent());
    }

    @Test
    public void ignoresAnswersOutOfOrder() {
      ServingGate gate = newOpenGate();
      gate.onHealth(newHealth(SECOND, "b3", 0), 300);
      gate.onHealth(newHealth(SECOND, "b2", 7), 250);
      assertFalse(gate.getOpen(ASSIGNMENT, 400).isPresent());
    }
  }

  /** Tests of leaving members. */
  public static class Leaving {

    @Test
    public void staysLeavingUntilBootIdChanges() {
      DrainTracker drain = new DrainTracker();
      ServingGate gate = newOpenGate(drain);
      drain.onNotice(SECOND, Optional.empty());
      gate.onHealth(newHealth(SECOND, "b2", 7), 200);
      assertFalse(gate.getOpen(ASSIGNMENT, 300).isPresent());
      gate.onHealth(newHealth(SECOND, "b3", 7), 400);
      assertTrue(gate.getOpen(ASSIGNMENT, 500).isPresent());
    }

    @Test
    public void appliesToFirstBootIdSeenLater() {
      DrainTracker drain = new DrainTracker();
      ServingGate gate = new ServingGate(MAX_AGE, drain);
      drain.onNotice(FIRST, Optional.empty());
      gate.onHealth(newHealth(FIRST, "b1", 7), 0);
      gate.onHealth(newHealth(SECOND, "b2", 7), 0);
      assertFalse(gate.getOpen(ASSIGNMENT, 1).isPresent());
    }
  }
}
