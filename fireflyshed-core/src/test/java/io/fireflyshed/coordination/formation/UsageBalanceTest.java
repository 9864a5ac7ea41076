package io.fireflyshed.coordination.formation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.traffic.ModelProfile;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link UsageBalance}. */
public class UsageBalanceTest {

  /** Tests the decisions. */
  public static class Decisions {

    private static final ModelProfile LARGE = ContinuedLosses.LARGE;
    private static final ModelProfile SMALL = ContinuedLosses.SMALL;
    private UsageBalance balance;

    /** Creates a balance that knows no usage. */
    @BeforeMethod
    public void setUp() {
      balance = new UsageBalance();
    }

    private void record(double large, double small) {
      balance.recordUsage(Map.of("large", large, "small", small), 0);
    }

    @Test
    public void busierReplicasMeanLessCoverage() {
      record(1, 6);
      assertTrue(balance.getCoverage(LARGE, 4) > balance.getCoverage(SMALL, 8));
    }

    @Test
    public void busyModelGetsTheEnginesOfOneThatCanSpareThem() {
      record(1, 8);
      assertTrue(balance.isMoveWorthwhile(LARGE, SMALL, Map.of("large", 4, "small", 9), true));
    }

    @Test
    public void modelThatIsNotBusyGetsNoEngines() {
      record(1, 4);
      assertFalse(balance.isMoveWorthwhile(LARGE, SMALL, Map.of("large", 4, "small", 9), true));
    }

    @Test
    public void busyModelGivesNoEngines() {
      record(3, 8);
      assertFalse(balance.isMoveWorthwhile(LARGE, SMALL, Map.of("large", 4, "small", 9), true));
    }

    @Test
    public void modelGetsASecondReplicaIfTheOtherCanSpareIt() {
      record(0.1, 4);
      assertTrue(balance.isMoveWorthwhile(SMALL, LARGE, Map.of("large", 1, "small", 12), true));
      assertFalse(balance.isMoveWorthwhile(SMALL, LARGE, Map.of("large", 1, "small", 6), true));
    }

    @Test
    public void modelThatIsHardlyUsedKeepsOneReplica() {
      record(0.1, 8);
      assertTrue(balance.isMoveWorthwhile(LARGE, SMALL, Map.of("large", 2, "small", 9), true));
      assertFalse(balance.isMoveWorthwhile(LARGE, SMALL, Map.of("large", 1, "small", 9), true));
    }

    @Test
    public void modelWithoutAReplicaGetsOneWhileTheOtherIsBusy() {
      record(0.1, 8);
      assertTrue(balance.isMoveWorthwhile(SMALL, LARGE, Map.of("large", 0, "small", 10), true));
      assertFalse(balance.isMoveWorthwhile(SMALL, LARGE, Map.of("large", 0, "small", 8), true));
    }

    @Test
    public void zonesThatDecideAtOnceLeaveAReplica() {
      record(0.1, 11);
      Map<String, Integer> replicas = Map.of("large", 3, "small", 12);
      int gives = 0;
      for (int zone = 0; zone < 3; zone++) {
        balance.setZonesBefore(Map.of("large", zone));
        gives += balance.isMoveWorthwhile(LARGE, SMALL, replicas, true) ? 1 : 0;
      }
      assertEquals(gives, 2);
    }

    @Test
    public void busierModelComesFirstIfNoneHasAReplica() {
      record(0.2, 3);
      balance.recordUsage(Map.of(), Duration.ofSeconds(30).toNanos());
      assertTrue(balance.getCoverage(SMALL, 0) < balance.getCoverage(LARGE, 0));
    }

    @Test
    public void briefPeakChangesLittle() {
      record(1, 4);
      balance.recordUsage(Map.of("large", 1.0, "small", 12.0), Duration.ofMillis(500).toNanos());
      assertFalse(balance.isMoveWorthwhile(LARGE, SMALL, Map.of("large", 4, "small", 9), true));
    }
  }

  /** Tests the replicas while engines are lost all the time. */
  public static class UnderLosses {

    private static final int SEEDS = 6;

    /** The callers of the small model need most of the engines. */
    private static final Map<String, Double> BUSY = Map.of("large", 2.0, "small", 10.0);

    private static double[] play(boolean isUsageTold) {
      double large = 0;
      double small = 0;
      double without = 0;
      for (int seed = 1; seed <= SEEDS; seed++) {
        ContinuedLosses run = new ContinuedLosses(seed, BUSY, isUsageTold);
        run.play();
        run.zones.forEach(zone -> assertEquals(zone.violations, List.of()));
        large += run.getServed(ContinuedLosses.LARGE) / SEEDS;
        small += run.getServed(ContinuedLosses.SMALL) / SEEDS;
        without += run.getTimeWithoutAny() / SEEDS;
      }
      return new double[] {large, small, without};
    }

    @Test
    public void callersOfBothModelsAreServedAlike() {
      double[] byShare = play(false);
      double[] byUsage = play(true);
      double least = Math.min(byUsage[0], byUsage[1]);
      assertTrue(least >= 0.8 * Math.max(byUsage[0], byUsage[1]), "one model is served less");
      assertTrue(least > Math.min(byShare[0], byShare[1]), "no better than fixed shares");
      assertTrue(byUsage[2] < 0.02, "a model had no replica");
    }
  }
}
