package io.fireflyshed.coordination.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.admission.AdmissionRun.Service;
import io.fireflyshed.coordination.placement.DemandMeter;
import io.fireflyshed.coordination.placement.PoolRoom;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.state.traffic.Rank;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.DoubleUnaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RankAdmission} under loads of three ranks, 0.3 of the room from the first one. */
public class RankAdmissionTest {

  private static final int TARGETS = 24;
  private static final Duration LENGTH = Duration.ofSeconds(24);

  /** The part of the most urgent callers that may be served less than if they were alone. */
  private static final double TOLERANCE = 0.02;

  /** A kind that is served less often than this part of all counts as starved. */
  private static final double STARVED_PART = 0.25;

  /** The largest tenth that is served less often than this part of all counts as starved. */
  private static final double STARVED_SIZE_PART = 0.5;

  private static final double LEAST_ACCOUNT = 0.5;

  /** The mean part of free slots at refusals up to which the slots count as full. */
  private static final double MAX_FREE_SLOTS = 0.05;

  @DataProvider
  private static Object[][] entries() {
    return new Object[][] {{9}, {36}, {87}};
  }

  private static AdmissionRun newRun(
      int entries, DoubleUnaryOperator first, DoubleUnaryOperator others, double lastFactor) {
    return newRun(entries, true, first, others, lastFactor);
  }

  private static AdmissionRun newRun(
      int entries,
      boolean isRanked,
      DoubleUnaryOperator first,
      DoubleUnaryOperator others,
      double lastFactor) {
    return new AdmissionRun(Service.PLAIN, entries, TARGETS, isRanked, entries)
        .withRank(0, first)
        .withRank(1, others)
        .withRank(2, t -> others.applyAsDouble(t) * (isBurst(t) ? lastFactor : 1));
  }

  /** Creates a load of one and a half times the room. */
  private static AdmissionRun newOverload(int entries) {
    return newRun(entries, t -> 0.3, t -> 0.6, 1);
  }

  private static boolean isBurst(double seconds) {
    return seconds > 8 && seconds < 16;
  }

  private static void assertFirstRankIsServedAsIfAlone(AdmissionRun run) {
    AdmissionRun alone =
        new AdmissionRun(Service.PLAIN, 9, TARGETS, true, 1).withRank(0, t -> 0.3).play(LENGTH);
    assertServedLike(run.getRank(0), alone.getRank(0), run);
  }

  private static void assertServedLike(
      AdmissionRun.Result result, AdmissionRun.Result alone, AdmissionRun run) {
    assertTrue(result.getServedPart() >= alone.getServedPart() - TOLERANCE, "" + run);
    assertTrue(result.getOnTimePart() >= alone.getOnTimePart() - TOLERANCE, "" + run);
  }

  private static void assertNothingStarves(AdmissionRun run) {
    double all = run.getAll().getServedPart();
    assertTrue(run.getRank(2).getServedPart() >= STARVED_PART * all, "" + run);
    assertTrue(run.getLarge().getServedPart() >= STARVED_SIZE_PART * all, "" + run);
    assertTrue(run.getLeastAccountPart() >= STARVED_PART, "" + run);
    assertTrue(run.getLeastAccount() >= LEAST_ACCOUNT, "" + run);
  }

  @Test(dataProvider = "entries")
  public void urgentCallersAreServedAsIfAloneAtOneAndAHalfTimesTheRoom(int entries) {
    AdmissionRun run = newOverload(entries).play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertNothingStarves(run);
    assertTrue(run.getFreeSlots() <= MAX_FREE_SLOTS, "" + run);
    AdmissionRun unranked = newRun(entries, false, t -> 0.3, t -> 0.6, 1).play(LENGTH);
    assertTrue(run.getAll().onTime > unranked.getAll().onTime, run + " before " + unranked);
    assertTrue(run.getRank(1).getServedPart() > run.getRank(2).getServedPart(), "" + run);
  }

  @Test(dataProvider = "entries")
  public void burstOfTheLeastUrgentTakesNothingFromTheOthers(int entries) {
    AdmissionRun run = newRun(entries, t -> 0.3, t -> 0.3, 2.5).play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertServedLike(run.getRank(1), run.getRank(0), run);
    assertNothingStarves(run);
  }

  @Test(dataProvider = "entries")
  public void burstOfAllTakesNothingFromTheMostUrgent(int entries) {
    DoubleUnaryOperator load = t -> isBurst(t) ? 0.3 * 1.7 : 0.3;
    AdmissionRun run = newRun(entries, load, load, 1).play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertNothingStarves(run);
  }

  @Test(dataProvider = "entries")
  public void largeAccountLeavesTheOthersTheirPart(int entries) {
    AdmissionRun run = newOverload(entries).withLargeAccount(10).play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertNothingStarves(run);
  }

  @Test(dataProvider = "entries")
  public void callersThatRepeatAtOnceTakeNothingFromTheMostUrgent(int entries) {
    AdmissionRun run = newOverload(entries).withHastyCallers().play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertNothingStarves(run);
  }

  @Test(dataProvider = "entries")
  public void lossOfAThirdOfTheTargetsIsBorneByTheLeastUrgent(int entries) {
    AdmissionRun run =
        newRun(entries, t -> 0.3, t -> 0.3, 1).withoutThirdOfTargets(8, 18).play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertNothingStarves(run);
  }

  @Test(dataProvider = "entries")
  public void entryThatIsCutOffServesItsCallersByWhatItSees(int entries) {
    AdmissionRun run = newOverload(entries).withFirstEntryCutOff().play(LENGTH);
    assertFirstRankIsServedAsIfAlone(run);
    assertNothingStarves(run);
    double all = run.getAll().getServedPart();
    assertTrue(run.getCutOff().getServedPart() >= STARVED_SIZE_PART * all, "" + run);
  }

  @Test(dataProvider = "entries")
  public void hardlyAnybodyIsRefusedAtMostOfTheRoom(int entries) {
    AdmissionRun run = newRun(entries, t -> 0.3, t -> 0.2, 1).play(LENGTH);
    assertServedLike(run.getRank(2), run.getRank(0), run);
  }

  @Test(dataProvider = "entries")
  public void urgentCallersOfModelAreServedAsIfAlone(int entries) {
    AdmissionRun run = newModelRun(entries, true);
    AdmissionRun unranked = newModelRun(entries, false);
    AdmissionRun alone =
        new AdmissionRun(Service.MODEL, 9, TARGETS, true, 1).withRank(0, t -> 0.3).play(LENGTH);
    double served = run.getRank(0).getServedPart();
    assertTrue(served >= alone.getRank(0).getServedPart() - TOLERANCE, "" + run);
    assertNothingStarves(run);
    assertTrue(run.getAll().onTime > unranked.getAll().onTime, run + " before " + unranked);
  }

  private static AdmissionRun newModelRun(int entries, boolean isRanked) {
    return new AdmissionRun(Service.MODEL, entries, TARGETS, isRanked, entries)
        .withRank(0, t -> 0.3)
        .withRank(1, t -> 0.6)
        .withRank(2, t -> 0.6)
        .play(LENGTH);
  }

  @Test
  public void nothingIsRefusedWhileSlotsAreFree() {
    RankAdmission admission = new RankAdmission(new DemandMeter());
    for (int i = 0; i < 1000; i++) {
      for (int rank = 0; rank < 4; rank++) {
        RequestDescriptor request = newRequest(rank);
        assertEquals(
            admission.decide(request, new PoolRoom(10, 40, 9), i * 1_000_000L),
            new AdmissionDecision.Admit(new Rank(rank)));
      }
    }
  }

  private static RequestDescriptor newRequest(int rank) {
    return new RequestDescriptor(
        "route",
        "pool",
        true,
        new Rank(rank),
        Optional.empty(),
        0,
        OptionalInt.empty(),
        0,
        0,
        Duration.ofMillis(300));
  }
}
