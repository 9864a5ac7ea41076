package io.fireflyshed.coordination.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.standins.peer.MembershipNetwork;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests {@link SwimMembership} on a simulated network in virtual time. */
public class SwimMembershipTest {

  private static final int ZONES = 3;
  private static final int PROCESSES_PER_ZONE = 3;
  private static final int PROCESSES = ZONES * PROCESSES_PER_ZONE;
  private static final int SEEDS = 50;
  private static final Duration SETTLING_TIME = Duration.ofSeconds(10);
  private static final Duration DETECTION_TIME = Duration.ofSeconds(15);

  private static MembershipNetwork newNetwork(long seed) {
    MembershipNetwork network =
        new MembershipNetwork(
            seed, ZONES, PROCESSES_PER_ZONE, MembershipSettings.ofDefaults(), m -> 0);
    network.run(SETTLING_TIME);
    return network;
  }

  private static String toReproductionHint(long seed) {
    return "seed "
        + seed
        + "; reproduce with: mvn -pl fireflyshed-standins -am test -Dtest=SwimMembershipTest";
  }

  /** Tests of processes that stop or leave. */
  public static class Failures {

    @Test
    public void detectsAStoppedProcessEverywhereInTime() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        MembershipNetwork network = newNetwork(seed);
        network.kill(4);
        network.run(DETECTION_TIME);
        assertEquals(network.countBelievers(4), 0, toReproductionHint(seed));
        assertEquals(network.countFalseDeaths(), 0, toReproductionHint(seed));
      }
    }

    @Test
    public void removesALeavingProcessAtOnceAndForGood() {
      MemberRecord member = newRecord("p1");
      SwimMembership membership = newMembership("p2");
      membership.addSeed(member, 0);
      assertTrue(membership.getLive().contains(member.id()));
      List<MemberRecord> left = List.of(member.withState(MemberState.LEFT));
      membership.onMessage(member.id(), new MembershipMessage.Ping(1, left), 1);
      assertFalse(membership.getLive().contains(member.id()));
      membership.addSeed(member, 2);
      assertFalse(membership.getLive().contains(member.id()));
    }
  }

  /** Tests of processes that pause. */
  public static class Pauses {

    @Test
    public void keepsAProcessThatPausesForLessThanTheSuspicionTimeout() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        MembershipNetwork network = newNetwork(seed);
        network.pause(4, Duration.ofSeconds(5));
        for (int second = 0; second < 20; second++) {
          network.run(Duration.ofSeconds(1));
          assertEquals(
              network.countFalseDeaths(), 0, toReproductionHint(seed) + ", second " + second);
        }
      }
    }

    @Test
    public void restoresAllProcessesAfterALongPause() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        MembershipNetwork network = newNetwork(seed);
        network.pause(4, Duration.ofSeconds(60));
        network.run(DETECTION_TIME);
        assertEquals(network.countBelievers(4), 0, toReproductionHint(seed));
        network.run(Duration.ofSeconds(75));
        assertEquals(network.countFalseDeaths(), 0, toReproductionHint(seed));
      }
    }
  }

  /** Tests of network partitions. */
  public static class Partitions {

    @Test
    public void toleratesAOneWayPartitionBetweenTwoProcesses() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        MembershipNetwork network = newNetwork(seed);
        network.cut(1, 4);
        for (int second = 0; second < 40; second++) {
          network.run(Duration.ofSeconds(1));
          assertEquals(
              network.countFalseDeaths(), 0, toReproductionHint(seed) + ", second " + second);
        }
      }
    }

    @Test
    public void detectsAZonePartitionOnBothSidesAndRecovers() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        MembershipNetwork network = newNetwork(seed);
        for (int other = 1; other < ZONES; other++) {
          network.cutZone(0, other);
          network.cutZone(other, 0);
        }
        network.run(Duration.ofMinutes(1));
        assertEquals(
            network.countFalseDeaths(),
            2 * PROCESSES_PER_ZONE * (PROCESSES - PROCESSES_PER_ZONE),
            toReproductionHint(seed));
        network.heal();
        network.run(Duration.ofSeconds(30));
        assertEquals(network.countFalseDeaths(), 0, toReproductionHint(seed));
      }
    }
  }

  private static MemberRecord newRecord(String id) {
    return new MemberRecord(
        new PeerId(id), "10.0.0.1:1", new AvailabilityZone("a"), 1, MemberState.ALIVE);
  }

  private static SwimMembership newMembership(String id) {
    return new SwimMembership(
        newRecord(id),
        MembershipSettings.ofDefaults(),
        RandomSource.XO_RO_SHI_RO_128_PP.create(1),
        0);
  }
}
