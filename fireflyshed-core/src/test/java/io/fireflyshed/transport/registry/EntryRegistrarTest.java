package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.LoggerFactory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link EntryRegistrar} in virtual time with a table that the test controls. */
public class EntryRegistrarTest {

  private static final double CORES = 0.75;

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final double TOTAL = 100;

  /** Keeps rows in memory; while it is down, requests fail without an effect. */
  private static final class Table implements TableService {
    private final Map<RowKey, Row> rows = new HashMap<>();
    private long version;
    private boolean isDown;
    private final List<String> scannedPrefixes = new ArrayList<>();

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
      scannedPrefixes.add(prefix);
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

    private final EntryRegistrar registrar;

    Process(String entry, AvailabilityZone zone) {
      this(entry, zone, Optional.empty());
    }

    Process(String entry, AvailabilityZone zone, Optional<InetSocketAddress> peerAddress) {
      registrar =
          new EntryRegistrar(
              table,
              () -> CompletableFuture.completedFuture(Duration.ofNanos(clock.nanoTime())),
              zone,
              entry,
              peerAddress,
              CORES,
              allowance,
              new EntrySchedule(0, 1, new SharedClock(clock)),
              control,
              clock,
              RandomSource.XO_RO_SHI_RO_128_PP.create(1));
      registrar.start();
    }

    /** Returns the known peers as texts in ascending order. */
    List<String> getPeers() {
      return registrar.getPeers().stream()
          .map(
              p ->
                  p.zone()
                      + "/"
                      + p.id()
                      + " "
                      + p.address().getAddress().getHostAddress()
                      + ":"
                      + p.address().getPort())
          .sorted()
          .toList();
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

  // Guards against an entry that others don't count or find for long after a restore of the table.
  @Test
  public void rowThatTheTableServiceLostIsWrittenAgainSoon() {
    Process first = new Process("1", ZONE, newAddress(1));
    Process second = new Process("2", ZONE, newAddress(2));
    advance(32, first, second);
    table.rows.clear();
    // Each entry finds out at its next read.
    advance(2 * (int) EntryRegistrar.READ_INTERVAL.toSeconds() + 1, first, second);
    assertEquals(first.getPeers(), List.of("a/2 10.0.0.2:7340"));
    assertEquals(second.getAllowance(), 0.75 * TOTAL / 2);
  }

  private static Optional<InetSocketAddress> newAddress(int host) {
    return Optional.of(InetSocketAddress.createUnresolved("10.0.0." + host, 7340));
  }

  private void putRow(String key, String value) {
    table.version++;
    RowKey rowKey = new RowKey("entries", key);
    table.rows.put(rowKey, new Row(rowKey, table.version, value));
  }

  @Test
  public void entriesOfAllZonesKnowEachOthersAddresses() {
    Process first = new Process("1", ZONE, newAddress(1));
    Process second = new Process("2", ZONE, newAddress(2));
    Process other = new Process("3", new AvailabilityZone("b"), newAddress(3));
    Process silent = new Process("4", new AvailabilityZone("b"));
    advance(75, first, second, other, silent);
    assertEquals(first.getPeers(), List.of("a/2 10.0.0.2:7340", "b/3 10.0.0.3:7340"));
    assertEquals(other.getPeers(), List.of("a/1 10.0.0.1:7340", "a/2 10.0.0.2:7340"));
    assertEquals(silent.getPeers().size(), 3);
    assertEquals(first.getAllowance(), 0.75 * TOTAL / 2);
    assertEquals(other.getAllowance(), 0.75 * TOTAL / 2);
  }

  @Test
  public void rowsOfOtherZonesAreReadInPlaceOfTheFirstAndEverySixthReadOfTheOwnZone() {
    advance(119, new Process("1", ZONE, newAddress(1)));
    // One read more than one in ten seconds: the second, two seconds after the first.
    assertEquals(table.scannedPrefixes.size(), 13);
    for (int i = 0; i < 13; i++) {
      boolean isFull = i < 3 || i % 6 == 0;
      assertEquals(table.scannedPrefixes.get(i), isFull ? "" : "a/", "read " + i);
    }
  }

  @Test
  public void storeGetsTenSecondsBetweenReadsAfterTheSecond() {
    Process first = new Process("1", ZONE, newAddress(1));
    advance(11, first);
    assertEquals(table.scannedPrefixes.size(), 3);
    advance(600, first);
    assertEquals(table.scannedPrefixes.size(), 63);
    assertEquals(table.scannedPrefixes.stream().filter(String::isEmpty).count(), 3 + 10);
  }

  @Test
  public void entriesThatStartTogetherKnowEachOtherWithinFourSeconds() {
    Process first = new Process("1", ZONE, newAddress(1));
    advance(1, first);
    // Registers after the first read of the first entry.
    Process other = new Process("3", new AvailabilityZone("b"), newAddress(3));
    advance(3, first, other);
    assertEquals(first.getPeers(), List.of("b/3 10.0.0.3:7340"));
    assertEquals(other.getPeers(), List.of("a/1 10.0.0.1:7340"));
  }

  @Test
  public void requestedReadListsNewEntriesAtOnceButNotMoreThanOnceInTwoSeconds() {
    Process first = new Process("1", ZONE, newAddress(1));
    advance(25, first);
    putRow("b/3", "{\"address\":\"10.0.0.3:7340\"}");
    table.scannedPrefixes.clear();
    first.registrar.refreshPeers();
    first.control.runDue();
    assertEquals(first.getPeers(), List.of("b/3 10.0.0.3:7340"));
    assertEquals(table.scannedPrefixes, List.of(""));
    for (int i = 0; i < 30; i++) {
      clock.advance(Duration.ofMillis(100));
      first.registrar.refreshPeers();
      first.control.runDue();
    }
    // Requested after 0 and 2 s of 3.
    assertEquals(table.scannedPrefixes, List.of("", ""));
  }

  @Test
  public void requestedReadThatFailsKeepsTheList() {
    Process first = new Process("1", ZONE, newAddress(1));
    putRow("b/3", "{\"address\":\"10.0.0.3:7340\"}");
    advance(25, first);
    table.isDown = true;
    first.registrar.refreshPeers();
    first.control.runDue();
    assertEquals(first.getPeers(), List.of("b/3 10.0.0.3:7340"));
  }

  @Test
  public void entryThatStopsIsNoLongerListed() {
    Process first = new Process("1", ZONE, newAddress(1));
    Process second = new Process("2", ZONE, newAddress(2));
    Process other = new Process("3", new AvailabilityZone("b"), newAddress(3));
    advance(75, first, second, other);
    assertEquals(first.getPeers().size(), 2);
    advance(90, first, other);
    assertEquals(first.getPeers(), List.of("b/3 10.0.0.3:7340"));
    advance(150, first);
    assertEquals(first.getPeers(), List.of());
  }

  @Test
  public void listIsKeptWhileTheTableIsDown() {
    Process first = new Process("1", ZONE, newAddress(1));
    Process other = new Process("3", new AvailabilityZone("b"), newAddress(3));
    advance(75, first, other);
    table.isDown = true;
    advance(600, first, other);
    assertEquals(first.getPeers(), List.of("b/3 10.0.0.3:7340"));
  }

  @Test
  public void coresArePublishedAndImpossibleOnesCountAsUnknown() {
    putRow("b/none", "{\"address\":\"10.0.0.4:7340\"}");
    putRow("b/negative", "{\"address\":\"10.0.0.5:7340\",\"cores\":-1}");
    putRow("b/huge", "{\"address\":\"10.0.0.6:7340\",\"cores\":1e300}");
    putRow("b/text", "{\"address\":\"10.0.0.7:7340\",\"cores\":\"NaN\"}");
    Process first = new Process("1", ZONE, newAddress(1));
    Process other = new Process("3", new AvailabilityZone("b"), newAddress(3));
    advance(70, first, other);
    Map<String, Double> cores =
        first.registrar.getPeers().stream()
            .collect(Collectors.toMap(p -> p.id().value(), EntryPeer::cores));
    assertEquals(cores, Map.of("none", 0.0, "negative", 0.0, "huge", 0.0, "text", 0.0, "3", CORES));
  }

  @Test
  public void invalidRowsAndRowsUnderTheOwnNameAreNotListed() {
    putRow("b/old", "b/old");
    putRow("b/1", "{\"address\":\"10.0.0.9:7340\"}");
    putRow("b/no-json", "address");
    putRow("b/no-address", "{}");
    putRow("b/no-port", "{\"address\":\"10.0.0.9\"}");
    putRow("b/port-zero", "{\"address\":\"10.0.0.9:0\"}");
    putRow("b/bad-port", "{\"address\":\"10.0.0.9:x\"}");
    putRow("b/name", "{\"address\":\"localhost:1\"}");
    putRow("no-zone", "{\"address\":\"10.0.0.9:7340\"}");
    putRow("b/bad name", "{\"address\":\"10.0.0.9:7340\"}");
    putRow("b/good", "{\"address\":\"10.0.0.8:7341\",\"later\":1}");
    Logger logger = (Logger) LoggerFactory.getLogger("io.fireflyshed.entries");
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    appender.start();
    logger.addAppender(appender);
    try {
      Process first = new Process("1", ZONE, newAddress(1));
      advance(70, first);
      assertEquals(first.getPeers(), List.of("b/good 10.0.0.8:7341"));
    } finally {
      logger.detachAppender(appender);
    }
    assertEquals(appender.list.stream().filter(e -> e.getMessage().contains("ignored")).count(), 8);
  }
}
