package io.fireflyshed.bench.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that the measured policy meets its bounds. */
public class PoisonRunTest {

  private static final int SEEDS = 10;
  private static final int MAX_LOST = 2;

  private static PoisonRun run(boolean isListed, long seed) {
    PoisonRun run = new PoisonRun(isListed, 9, 65, 200, seed);
    run.run(200, 30);
    return run;
  }

  @Test
  public void losesTwoReplicasAtMostAndRefusesNoInnocent() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      PoisonRun run = run(true, seed);
      String message = "seed " + seed + "; bin/fireflyshed bench poison --runs 1 --seed " + seed;
      assertTrue(run.getLost() <= MAX_LOST, run.getLost() + " lost, " + message);
      assertEquals(run.getInnocentRefused(), 0, message);
      assertTrue(run.getPoisonSent() > MAX_LOST, message);
    }
  }

  @Test
  public void losesManyWithoutTheList() {
    assertTrue(run(false, 1).getLost() > MAX_LOST);
  }
}
