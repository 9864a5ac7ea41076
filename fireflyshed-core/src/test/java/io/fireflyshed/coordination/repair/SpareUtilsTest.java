package io.fireflyshed.coordination.repair;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link SpareUtils}. */
public class SpareUtilsTest {

  private static final int SIZE = 4;
  private static final int ACCELERATORS = 2;

  private static int getSpares(RepairWeights weights, double meanDown) {
    return SpareUtils.getSpares(weights, meanDown, SIZE, ACCELERATORS);
  }

  @Test
  public void holdsNoSpareWithoutFailures() {
    assertEquals(getSpares(RepairWeights.ofHarwood(), 0), 0);
  }

  @Test
  public void holdsMoreSparesIfDowntimeCostsMore() {
    assertEquals(getSpares(RepairWeights.ofHarwood(), 0.04), 1);
    assertEquals(getSpares(RepairWeights.ofViitekulma(), 0.04), 0);
  }

  @Test
  public void spareCountGrowsWithFailureRate() {
    int last = 0;
    for (double meanDown = 0; meanDown < 8; meanDown += 0.25) {
      int spares = getSpares(RepairWeights.ofHarwood(), meanDown);
      assertTrue(spares >= last, "mean number of instances down: " + meanDown);
      last = spares;
    }
    assertTrue(last > 8);
  }

  @Test
  public void raisesWeightOnlyBeforeAndDuringPeak() {
    List<DemandPeak> peaks = List.of(new DemandPeak(100, 200, 50));
    RepairWeights weights = RepairWeights.ofViitekulma();
    RepairWeights raised = new RepairWeights(200, 1);
    assertEquals(SpareUtils.getPeakWeights(weights, peaks, 0, 99), weights);
    assertEquals(SpareUtils.getPeakWeights(weights, peaks, 0, 100), raised);
    assertEquals(SpareUtils.getPeakWeights(weights, peaks, 199, 10), raised);
    assertEquals(SpareUtils.getPeakWeights(weights, peaks, 200, 10), weights);
    assertEquals(getSpares(raised, 0.04), 1);
  }

  @Test
  public void rejectsInvalidArguments() {
    assertThrows(
        IllegalArgumentException.class,
        () -> SpareUtils.getSpares(RepairWeights.ofHarwood(), -1, SIZE, ACCELERATORS));
    assertThrows(IllegalArgumentException.class, () -> new RepairWeights(0, 1));
  }
}
