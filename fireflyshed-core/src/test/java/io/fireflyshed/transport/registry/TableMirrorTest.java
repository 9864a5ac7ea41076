package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.registry.SharedTableFeed.TableSettings;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TableMirror} in virtual time with a table service that responds after 5 ms. */
public class TableMirrorTest {

  private static final Duration INTERVAL = Duration.ofMillis(400);
  private static final Duration CALL = Duration.ofMillis(5);

  private ManualScheduler control;
  private FakeTable table;
  private boolean isDown;
  private TableMirror mirror;

  /** Creates a table with one row and a mirror that has not read it. */
  @BeforeMethod
  public void setUp() {
    ManualClock clock = new ManualClock();
    control = new ManualScheduler(clock);
    table = new FakeTable();
    table.put("k", "v1|0");
    isDown = false;
    TableFeed feed =
        new TableFeed() {
          @Override
          public CompletableFuture<TableChanges> readAll(String name) {
            return call(table::readAll);
          }

          @Override
          public CompletableFuture<TableChanges> awaitChanges(
              String name, long version, Duration maxWait) {
            return call(() -> table.readChanges(version));
          }
        };
    mirror =
        new TableMirror(
            FakeTable.NAME,
            feed,
            new TableSettings(INTERVAL, Duration.ZERO, TableMirrorTest::digest),
            control,
            clock);
  }

  private static Object digest(Row row) {
    return row.value().split("\\|")[0];
  }

  private CompletableFuture<TableChanges> call(Supplier<TableChanges> read) {
    CompletableFuture<TableChanges> result = new CompletableFuture<>();
    control.schedule(
        () -> {
          if (isDown) {
            result.completeExceptionally(new IllegalStateException("no response"));
            return;
          }
          try {
            result.complete(read.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        },
        CALL.toMillis(),
        TimeUnit.MILLISECONDS);
    return result;
  }

  private CompletableFuture<TableChanges> ask(long version) {
    CompletableFuture<TableChanges> answer =
        mirror.ask(new TableQuestion(FakeTable.NAME, version, false));
    control.runDue();
    return answer;
  }

  private TableChanges get(CompletableFuture<TableChanges> answer) {
    control.advance(INTERVAL.plus(CALL).plus(CALL));
    assertTrue(answer.isDone());
    return answer.join();
  }

  private static List<String> getValues(TableChanges changes) {
    return changes.updated().stream().map(Row::value).toList();
  }

  @Test
  public void firstAnswerHasAllRows() {
    TableChanges changes = get(ask(0));
    assertTrue(changes.isWhole());
    assertEquals(getValues(changes), List.of("v1|0"));
  }

  @Test
  public void questionIsNotAnsweredByAReadThatBeganBefore() {
    get(ask(0));
    CompletableFuture<TableChanges> first = ask(1);
    control.advance(Duration.ofMillis(2));
    table.put("k", "v2|0");
    CompletableFuture<TableChanges> second = ask(1);
    control.advance(Duration.ofMillis(10));
    assertTrue(first.isDone());
    assertFalse(second.isDone());
    assertEquals(getValues(get(second)), List.of("v2|0"));
  }

  @Test
  public void readsKeepTheirDistanceAndAnswerAllQuestions() {
    get(ask(0));
    int before = table.getReads();
    for (int i = 0; i < 100; i++) {
      ask(1);
      control.advance(Duration.ofMillis(40));
    }
    assertTrue(table.getReads() - before <= 11, table.getReads() - before + " reads in 4 s");
  }

  @Test
  public void onlySignificantChangesAreTold() {
    long version = get(ask(0)).version();
    table.put("k", "v1|1");
    TableChanges heartbeat = get(ask(version));
    assertEquals(heartbeat.updated(), List.of());
    table.put("k", "v2|2");
    assertEquals(getValues(get(ask(heartbeat.version()))), List.of("v2|2"));
    assertEquals(getValues(get(ask(version))), List.of("v2|2"));
  }

  @Test
  public void removedAndNewRowsAreToldToAllThatKnowAnOlderVersion() {
    long version = get(ask(0)).version();
    table.put("k", null);
    table.put("l", "w|0");
    for (int i = 0; i < 3; i++) {
      TableChanges changes = get(ask(version));
      assertFalse(changes.isWhole());
      assertEquals(changes.removed(), Set.of(FakeTable.newKey("k")));
      assertEquals(getValues(changes), List.of("w|0"));
    }
  }

  @Test
  public void entryThatKnowsAnotherHistoryGetsAllRows() {
    long version = get(ask(0)).version();
    assertTrue(get(ask(version + 100)).isWhole());
    table.put("k", "v2|0");
    table.restore(version);
    assertEquals(getValues(get(ask(version + 1))), List.of("v1|0"));
  }

  @Test
  public void lostHistoryLeadsToAFullRead() {
    long version = get(ask(0)).version();
    table.put("k", null);
    table.put("l", "w|0");
    table.compact();
    TableChanges changes = get(ask(version));
    assertEquals(changes.removed(), Set.of(FakeTable.newKey("k")));
    assertEquals(getValues(changes), List.of("w|0"));
  }

  @Test
  public void entryThatKnowsARowWhichAFullReadMissedGetsAllRows() {
    long version = get(ask(0)).version();
    table.put("l", "w|0");
    long versionOfAnother = table.getVersion();
    table.put("l", null);
    table.compact();
    TableChanges changes = get(ask(versionOfAnother));
    assertTrue(changes.isWhole());
    assertEquals(getValues(changes), List.of("v1|0"));
    assertFalse(get(ask(version)).isWhole());
  }

  @Test
  public void entryThatKnowsARowAsItWasBetweenTwoReadsIsToldTheRow() {
    get(ask(0));
    table.put("k", "v2|0");
    table.put("l", "w|0");
    long versionOfAnother = table.getVersion();
    table.put("k", "v1|1");
    table.put("l", null);
    TableChanges changes = get(ask(versionOfAnother));
    assertEquals(getValues(changes), List.of("v1|1"));
    assertEquals(changes.removed(), Set.of(FakeTable.newKey("l")));
  }

  @Test
  public void failedReadFailsItsQuestionsOnly() {
    get(ask(0));
    isDown = true;
    CompletableFuture<TableChanges> failed = ask(1);
    control.advance(INTERVAL);
    assertTrue(failed.isCompletedExceptionally());
    isDown = false;
    table.put("k", "v2|0");
    assertEquals(getValues(get(ask(1))), List.of("v2|0"));
  }
}
