package io.fireflyshed.coordination.admission;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.admission.AdmissionRun.Result;
import io.fireflyshed.coordination.admission.AdmissionRun.Service;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the goals of admission in full; the seed of each run is its number of entries. */
public class RankAdmissionGoalTest {

  private static final Duration LENGTH = Duration.ofSeconds(24);
  private static final int TARGETS = 24;
  private static final double TOLERANCE = 0.02;
  private static final double MAX_FREE_SLOTS = 0.05;

  @DataProvider
  public Object[][] entries() {
    return new Object[][] {{9}, {36}, {87}, {300}};
  }

  private static AdmissionRun newRun(Service service, int entries) {
    return new AdmissionRun(service, entries, TARGETS, true, entries);
  }

  private static AdmissionRun playModel(int entries) {
    return newRun(Service.MODEL, entries)
        .withRank(0, t -> 0.3)
        .withRank(1, t -> 0.6)
        .withRank(2, t -> 0.6)
        .play(LENGTH);
  }

  @Test(dataProvider = "entries")
  public void secondRankIsOnTimeInBurstOfTheLeastUrgent(int entries) {
    AdmissionRun run =
        newRun(Service.PLAIN, entries)
            .withRank(0, t -> 0.3)
            .withRank(1, t -> 0.3)
            .withRank(2, t -> 0.3 * (t > 8 && t < 16 ? 2.5 : 1))
            .play(LENGTH);
    double first = run.getRank(0).getOnTimePart();
    assertTrue(run.getRank(1).getOnTimePart() >= first - TOLERANCE, "" + run);
  }

  @Test(dataProvider = "entries")
  public void urgentCallersOfModelAreOnTimeAsIfAlone(int entries) {
    Result alone =
        new AdmissionRun(Service.MODEL, 9, TARGETS, true, 1)
            .withRank(0, t -> 0.3)
            .play(LENGTH)
            .getRank(0);
    AdmissionRun run = playModel(entries);
    double onTime = run.getRank(0).getOnTimePart();
    assertTrue(onTime >= alone.getOnTimePart() - TOLERANCE, alone + " alone, " + run);
  }

  @Test(dataProvider = "entries")
  public void slotsOfModelAreFullAtOneAndAHalfTimesTheRoom(int entries) {
    AdmissionRun run = playModel(entries);
    assertTrue(run.getFreeSlots() <= MAX_FREE_SLOTS, "" + run);
  }
}
