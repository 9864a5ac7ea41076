package io.fireflyshed.coordination.formation;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.traffic.ModelProfile;
import java.time.Duration;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link ShareBalance} against the sums and ratios that decided before usage was known. */
public class ShareBalanceTest {

  private static final int MAX_REPLICAS = 6;
  private static final int[][] SIZES = {{12, 6}, {12, 4}, {6, 2}, {4, 1}, {3, 1}};

  private static ModelProfile newModel(String name, double share, int size) {
    return new ModelProfile(name, size, share, 1, Duration.ZERO, Duration.ZERO);
  }

  /** Adds up the coverage replica by replica. */
  private static double sumCoverage(ModelProfile model, int inOtherZones, int here) {
    double ofReplica = model.size() / Math.max(model.share(), 0.01);
    double sum = inOtherZones * ofReplica;
    for (int i = 0; i < here; i++) {
      sum += ofReplica;
    }
    return sum;
  }

  @Test
  public void decisionsAreToTheLetterThoseOfTheSums() {
    for (int[] sizes : SIZES) {
      for (int percent = 0; percent <= 100; percent += 5) {
        ModelProfile large = newModel("large", percent / 100.0, sizes[0]);
        ModelProfile small = newModel("small", 1 - percent / 100.0, sizes[1]);
        for (int i = 0; i < Math.pow(MAX_REPLICAS + 1, 4); i++) {
          compare(large, small, i);
        }
      }
    }
  }

  private static void compare(ModelProfile large, ModelProfile small, int number) {
    int base = MAX_REPLICAS + 1;
    int largeElsewhere = number % base;
    int largeHere = number / base % base;
    int smallElsewhere = number / base / base % base;
    int smallHere = number / base / base / base;
    ShareBalance balance = new ShareBalance();
    balance.setReplicasInOtherZones(Map.of("large", largeElsewhere, "small", smallElsewhere));
    int larges = largeElsewhere + largeHere;
    int smalls = smallElsewhere + smallHere;
    Map<String, Integer> replicas = Map.of("large", larges, "small", smalls);
    double before = sumCoverage(large, largeElsewhere, largeHere);
    double other = sumCoverage(small, smallElsewhere, smallHere);
    String place = large + ", " + small + ", " + number;
    assertEquals(balance.getCoverage(large, larges), before, place);
    assertEquals(balance.getCoverage(small, smalls), other, place);
    assertEquals(
        balance.isMoveWorthwhile(large, small, replicas, false), before > 1.8 * other, place);
    assertEquals(
        balance.isMoveWorthwhile(large, small, replicas, true), before > 1.2 * other, place);
    assertEquals(balance.isWaitWorthwhile(large, small, replicas), before / other > 1.2, place);
  }
}
