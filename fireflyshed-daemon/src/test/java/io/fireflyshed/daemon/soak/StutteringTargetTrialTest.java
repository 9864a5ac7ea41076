package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.daemon.soak.StutteringTarget.Pattern;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that callers get no success for a failure while targets write the beginnings of second
 * responses, whole second ones, or malformed status lines.
 *
 * <p>By hand: {@code mvn -pl fireflyshed-daemon -am test -Dtest=StutteringTargetTrialTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtrial.seeds=0-9 -Dtrial.entries=3 -Dtrial.targets=6
 * -Dtrial.callers=60 -Dtrial.seconds=10}. The seed selects the pattern unless {@code trial.pattern}
 * states it; {@code trial.sound} targets are sound. Every second entry, or each if {@code
 * trial.earlier.entries} is {@code all}, runs the program of an earlier version if {@code
 * trial.earlier.build} is the root of its compiled checkout. The output of all processes and the
 * reports are kept in a directory for each run in {@code target/stutter}.
 */
public class StutteringTargetTrialTest {

  private static final String SECONDS_PROPERTY = "trial.seconds";
  private static final String CALLERS_PROPERTY = "trial.callers";
  private static final String PATTERN_PROPERTY = "trial.pattern";
  private static final String SOUND_PROPERTY = "trial.sound";
  private static final String DEFAULT_SEEDS = "0-2";
  private static final int DEFAULT_ENTRIES = 3;
  private static final int DEFAULT_TARGETS = 6;
  private static final int DEFAULT_CALLERS = 60;
  private static final int DEFAULT_SECONDS = 2;

  /** Keeps the logs of an earlier run. */
  private static final Path RUN_DIRECTORY =
      Path.of("target", "stutter", "run-" + System.currentTimeMillis()).toAbsolutePath();

  /** Provides the seeds, a number or a range. */
  @DataProvider
  public Object[][] seeds() {
    return TrialSettings.provideSeeds(DEFAULT_SEEDS);
  }

  @Test(dataProvider = "seeds", timeOut = 300_000)
  public void stutteringTargetsCauseNoWrongSuccess(long seed) throws Exception {
    TrialSettings settings = TrialSettings.read(seed, DEFAULT_ENTRIES, DEFAULT_TARGETS);
    int patterns = Pattern.NONE.ordinal();
    Pattern drawn = Pattern.values()[(int) Math.floorMod(seed, (long) patterns)];
    Pattern pattern = Pattern.valueOf(System.getProperty(PATTERN_PROPERTY, drawn.name()));
    int soundTargets = Integer.getInteger(SOUND_PROPERTY, 0);
    int seconds = Integer.getInteger(SECONDS_PROPERTY, DEFAULT_SECONDS);
    int callers = Integer.getInteger(CALLERS_PROPERTY, DEFAULT_CALLERS);
    Path directory = RUN_DIRECTORY.resolve("seed-" + seed + "-" + pattern);
    try (StutterTrial trial = new StutterTrial(settings, pattern, soundTargets, directory)) {
      trial.run(callers, Duration.ofSeconds(seconds));
      StutterReport report = new StutterReport(trial);
      String summary =
          String.format(
              "%s, %s, %d sound targets, %d callers, %d s: %s",
              settings, pattern, soundTargets, callers, seconds, report.summarize());
      System.out.print(summary);
      Files.write(directory.resolve("report.txt"), List.of(summary));
      Files.write(directory.resolve("wrong-successes.txt"), report.describeWrongSuccesses());
      Files.write(directory.resolve("refusal.txt"), report.describeRefusal().stream().toList());
      assertEquals(report.findWrongSuccesses(), List.of(), summary);
      assertEquals(report.findRepeatedOrders(), List.of(), summary);
      assertEquals(report.findRefusedRuns(), List.of(), summary);
    }
  }
}
