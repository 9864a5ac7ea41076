package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.daemon.soak.BudgetChecks.Window;
import io.fireflyshed.daemon.soak.SilencePlan.Pattern;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Suspends targets of a plain service under callers that keep their connections, and checks that
 * repeats keep to the time that is left.
 *
 * <p>By hand: {@code mvn -pl fireflyshed-daemon -am test -Dtest=SilentTargetTrialTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtrial.seeds=1-3 -Dtrial.entries=9 -Dtrial.targets=8
 * -Dtrial.rounds=12}. The seed selects the pattern of the silence unless {@code trial.pattern}
 * states it. Every second entry, or each if {@code trial.earlier.entries} is {@code all}, runs the
 * program of an earlier version if {@code trial.earlier.build} is the root of its compiled
 * checkout, and entries are suspended, too, if {@code trial.suspend.entries} is true. The output of
 * all processes and the reports are kept in a directory for each run in {@code target/silence}.
 */
public class SilentTargetTrialTest {

  private static final String ROUNDS_PROPERTY = "trial.rounds";
  private static final String PATTERN_PROPERTY = "trial.pattern";
  private static final String DEFAULT_SEEDS = "1";
  private static final int DEFAULT_ENTRIES = 4;
  private static final int DEFAULT_TARGETS = 8;
  private static final int DEFAULT_ROUNDS = 5;

  /** Keeps the logs of an earlier run. */
  private static final Path RUN_DIRECTORY =
      Path.of("target", "silence", "run-" + System.currentTimeMillis()).toAbsolutePath();

  /** Provides the seeds, a number or a range. */
  @DataProvider
  public Object[][] seeds() {
    return TrialSettings.provideSeeds(DEFAULT_SEEDS);
  }

  @Test(dataProvider = "seeds", timeOut = 300_000)
  public void silentTargetsGetNoMoreTimeThanIsLeft(long seed) throws Exception {
    TrialSettings settings = TrialSettings.read(seed, DEFAULT_ENTRIES, DEFAULT_TARGETS);
    int rounds = Integer.getInteger(ROUNDS_PROPERTY, DEFAULT_ROUNDS);
    Pattern drawn = Pattern.values()[(int) Math.floorMod(seed, (long) Pattern.values().length)];
    Pattern pattern = Pattern.valueOf(System.getProperty(PATTERN_PROPERTY, drawn.name()));
    Path directory = RUN_DIRECTORY.resolve("seed-" + seed);
    try (SilenceTrial trial = new SilenceTrial(settings, directory)) {
      trial.run(pattern, rounds);
      BudgetChecks checks = new BudgetChecks(trial.getTargets(), trial.getAttempts());
      SilenceReport report = new SilenceReport(trial, checks);
      String summary =
          String.format("%s, %d rounds, %s: %s", settings, rounds, pattern, report.summarize());
      System.out.print(summary);
      Files.write(directory.resolve("report.txt"), List.of(summary));
      Files.write(directory.resolve("late-ends.txt"), report.describeLateEnds());
      Files.write(directory.resolve("unanswered.txt"), report.describeUnanswered());
      assertFalse(checks.isTimeBudgetBroken(), summary);
      Window worst = checks.findWorstWindow();
      assertTrue(worst.repeats() <= worst.allowed(), summary);
      assertEquals(checks.findRepeatedOrders(), List.of(), summary);
      assertEquals(checks.findRefusedRuns(), List.of(), summary);
      assertEquals(checks.findFalseSuccesses(), List.of(), summary);
    }
  }
}
