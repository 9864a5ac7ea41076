package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link EntryRegistrar} in virtual time with a table that the test controls. */
public class EntryRegistrarTest {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final double TOTAL = 100;

  /** Keeps rows in memory; while it is down, requests fail without an effect. */
  private static final class Table implements TableService {
    private final Map<RowKey, Row> rows = new HashMap<>();
    private long version;
    private boolean isDown;

    private <T> CompletableFuture<T> reply(T value) {
      return isDown
          ? CompletableFuture.failedFuture(
              new NoEffectException("read", "table", "the table is down", null))
          : CompletableFuture.completedFuture(value);
    }

    @Override
    public CompletableFuture<Optional<Row>> read(RowKey key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<List<Row>> scan(String table, String prefix) {
      return reply(rows.values().stream().filter(r -> r.key().key().startsWith(prefix)).toList());
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
      if (!isDown) {
        version++;
        transaction.writes().forEach(this::apply);
      }
      return reply(new CommitResult(true, List.of()));
    }

    private void apply(Write write) {
      if (write.value().isPresent()) {
        rows.put(write.key(), new Row(write.key(), version, write.value().get()));
      } else {
        rows.remove(write.key());
      }
    }
  }

  private final ManualClock clock = new ManualClock();
  private Table table;

  /** Creates an empty table. */
  @BeforeMethod
  public void setUp() {
    table = new Table();
  }

  /** Holds the parts of one process. */
  private final class Process {
    private final ManualScheduler control = new ManualScheduler(clock);
    private final RetryAllowance allowance =
        new RetryAllowance(TOTAL, 1, EntryRegistrar.READ_INTERVAL, EntryRegistrar.MAX_COUNT_AGE);

    Process(String entry, AvailabilityZone zone) {
      new EntryRegistrar(
              table,
              () -> CompletableFuture.completedFuture(Duration.ofNanos(clock.nanoTime())),
              zone,
              entry,
              allowance,
              new EntrySchedule(0, 1, clock),
              control,
              clock,
              RandomSource.XO_RO_SHI_RO_128_PP.create(1))
          .start();
    }

    double getAllowance() {
      return allowance.get(clock.nanoTime());
    }
  }

  private void advance(int seconds, Process... processes) {
    for (int i = 0; i < seconds * 10; i++) {
      clock.advance(Duration.ofMillis(100));
      for (Process process : processes) {
        process.control.runDue();
      }
    }
  }

  @Test
  public void entriesOfAZoneShareTheAllowanceEqually() {
    Process first = new Process("1", ZONE);
    Process second = new Process("2", ZONE);
    Process other = new Process("3", new AvailabilityZone("b"));
    advance(25, first, second, other);
    assertEquals(first.getAllowance(), 0.75 * TOTAL / 2);
    assertEquals(second.getAllowance(), 0.75 * TOTAL / 2);
    assertEquals(other.getAllowance(), 0.75 * TOTAL);
  }

  @Test
  public void entryThatStopsIsNoLongerCountedAndItsRowIsDeleted() {
    Process first = new Process("1", ZONE);
    Process second = new Process("2", ZONE);
    advance(30, first, second);
    advance(120, first);
    assertEquals(first.getAllowance(), 0.75 * TOTAL);
    assertEquals(table.rows.size(), 2);
    advance(600, first);
    assertEquals(table.rows.size(), 1);
  }

  @Test
  public void entryHasNoAllowanceWhileTheTableIsDownForLong() {
    Process first = new Process("1", ZONE);
    advance(25, first);
    table.isDown = true;
    advance(20, first);
    assertTrue(first.getAllowance() > 0);
    advance(20, first);
    assertEquals(first.getAllowance(), 0.0);
    table.isDown = false;
    advance(5, first);
    assertTrue(first.getAllowance() > 0);
  }
}
