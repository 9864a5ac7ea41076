package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SharedTableFeed} with many entries in virtual time. */
public class SharedTableFeedTest {

  /**
   * The shortest time after which a target that announced that it leaves must get no more requests,
   * less the time in which a request is sent.
   */
  private static final Duration MAX_AGE = Duration.ofMillis(1800);

  /** Provides numbers of entries and seeds. */
  @DataProvider
  public static Object[][] runs() {
    return new Object[][] {
      {3, 1L}, {3, 2L}, {3, 3L}, {9, 4L}, {9, 5L}, {9, 6L}, {59, 7L}, {59, 8L}, {95, 9L}, {300, 10L}
    };
  }

  @Test(dataProvider = "runs")
  public void beliefsAreNoOlderThanTheQuestionsWhateverFails(int entries, long seed) {
    SharedTablesRun run = new SharedTablesRun(entries, seed);
    run.run(Duration.ofSeconds(30), true);
    assertEquals(run.getViolations(), List.of());
    assertTrue(
        run.getMaxAge().compareTo(MAX_AGE) <= 0,
        "a reachable entry believed what was " + run.getMaxAge() + " old");
  }

  @Test(dataProvider = "runs")
  public void oneEntryOfEachZoneReadsTheTable(int entries, long seed) {
    SharedTablesRun run = new SharedTablesRun(entries, seed);
    run.run(Duration.ofSeconds(2), false);
    int before = run.getReads();
    run.run(Duration.ofSeconds(10), false);
    int zones = (entries + 18) / 19;
    int reads = run.getReads() - before;
    assertTrue(reads <= zones * 26, reads + " reads in 10 s in " + zones + " zones");
    assertEquals(run.getViolations(), List.of());
  }

  @Test
  public void lossOfAReaderCostsEachEntryOneReadAtMost() {
    SharedTablesRun run = new SharedTablesRun(95, 1);
    run.run(Duration.ofSeconds(3), false);
    run.freezeReaders();
    int before = run.getReads();
    run.run(Duration.ofSeconds(2), false);
    int zones = 5;
    int reads = run.getReads() - before;
    int limit = zones * (18 + 6);
    assertTrue(reads <= limit, reads + " reads in 2 s, limit " + limit);
    assertEquals(run.getViolations(), List.of());
  }

  @Test
  public void changeOfManyRowsIsReadDirectly() {
    SharedTablesRun run = new SharedTablesRun(19, 1);
    run.run(Duration.ofSeconds(3), false);
    run.changeAllRows("v".repeat(2000));
    run.run(Duration.ofSeconds(2), false);
    assertTrue(run.getMaxAnswerLength() <= 64 * 1024, run.getMaxAnswerLength() + " characters");
    assertEquals(run.getViolations(), List.of());
    assertTrue(run.getMaxAge().compareTo(MAX_AGE) <= 0, "beliefs " + run.getMaxAge() + " old");
  }
}
