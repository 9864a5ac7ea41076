package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.directory.ReaderSelector;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.registry.SharedTableFeed.TableSettings;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs the entries of a deployment that follow a table through each other, in virtual time, while
 * rows change and entries freeze, are cut off from the table service or from each other.
 *
 * <p>Each entry checks that what it was told is no older than its question.
 */
final class SharedTablesRun {

  /** The interval of reads. */
  static final Duration INTERVAL = Duration.ofMillis(400);

  private static final Duration QUESTION_DELAY = Duration.ofMillis(20);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1500);
  private static final int ROWS = 40;
  private static final int ENTRIES_PER_ZONE = 19;

  /** Holds a value that a row had from a time on; null if there was no row. */
  private record Value(long sinceNanos, String value) {}

  private final ManualClock clock = new ManualClock();
  private final ManualScheduler scheduler = new ManualScheduler(clock);
  private final UniformRandomProvider random;
  private final FakeTable table = new FakeTable();
  private final Map<RowKey, List<Value>> history = new HashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private final List<EntryPeer> peers = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private boolean isStoreDown;
  private long maxAnswerLength;
  private Duration maxAge = Duration.ZERO;

  /** One entry, with what it knows of the table. */
  private final class Entry {
    private final PeerId id;
    private final AvailabilityZone zone;
    private final SharedTableFeed feed;
    private final Map<RowKey, String> known = new HashMap<>();
    private long version;
    private boolean isRead;
    private boolean isFrozen;
    private boolean isCutFromStore;
    private boolean isCutFromEntries;
    private long confirmedNanos;
    private long calmSinceNanos;

    Entry(PeerId id, AvailabilityZone zone) {
      this.id = id;
      this.zone = zone;
      feed =
          new SharedTableFeed(
              newStore(),
              (entry, question, timeout) -> ask(find(entry.id()), question, timeout),
              () -> peers,
              new ReaderSelector(id, zone, 0),
              Map.of(
                  FakeTable.NAME,
                  new TableSettings(INTERVAL, Duration.ZERO, SharedTablesRun::digest)),
              scheduler,
              clock,
              new SimpleMeterRegistry());
    }

    private TableFeed newStore() {
      return new TableFeed() {
        @Override
        public CompletableFuture<TableChanges> readAll(String name) {
          return callStore(table::readAll);
        }

        @Override
        public CompletableFuture<TableChanges> awaitChanges(
            String name, long after, Duration maxWait) {
          return callStore(() -> table.readChanges(after));
        }
      };
    }

    private CompletableFuture<TableChanges> callStore(Supplier<TableChanges> read) {
      CompletableFuture<TableChanges> result = new CompletableFuture<>();
      schedule(
          () -> {
            if (isUnreachable()) {
              return;
            }
            try {
              TableChanges changes = read.get();
              schedule(() -> result.complete(changes), Duration.ofMillis(3));
            } catch (HistoryLostException e) {
              result.completeExceptionally(e);
            }
          },
          Duration.ofMillis(3));
      schedule(
          () -> result.completeExceptionally(new IllegalStateException("no response")),
          STORE_TIMEOUT);
      return result;
    }

    private boolean isUnreachable() {
      return isStoreDown || isCutFromStore || isFrozen;
    }

    private CompletableFuture<TableChanges> ask(
        Entry other, TableQuestion question, Duration timeout) {
      CompletableFuture<TableChanges> result = new CompletableFuture<>();
      schedule(() -> result.completeExceptionally(new IllegalStateException("no answer")), timeout);
      schedule(
          () -> {
            if (isLinkUp(other)) {
              other.feed.answer(question).whenComplete((c, e) -> reply(other, result, c, e));
            }
          },
          Duration.ofMillis(1));
      return result;
    }

    private void reply(
        Entry other, CompletableFuture<TableChanges> result, TableChanges c, Throwable e) {
      schedule(
          () -> {
            if (!isLinkUp(other)) {
              return;
            }
            if (e == null) {
              long length = c.updated().stream().mapToLong(row -> row.value().length()).sum();
              maxAnswerLength = Math.max(maxAnswerLength, length);
              result.complete(c);
            } else {
              result.completeExceptionally(e);
            }
          },
          Duration.ofMillis(1));
    }

    private boolean isLinkUp(Entry other) {
      return !other.isFrozen && !other.isCutFromEntries && !isCutFromEntries && !isFrozen;
    }

    void follow() {
      if (isFrozen) {
        schedule(this::follow, RETRY_DELAY);
        return;
      }
      long askedNanos = clock.nanoTime();
      (isRead
              ? feed.awaitChanges(FakeTable.NAME, version, Duration.ZERO)
              : feed.readAll(FakeTable.NAME))
          .whenComplete((changes, error) -> onAnswer(changes, error, askedNanos));
    }

    private void onAnswer(TableChanges changes, Throwable error, long askedNanos) {
      if (error == null) {
        apply(changes);
        check(askedNanos);
        confirmedNanos = askedNanos;
        schedule(this::follow, QUESTION_DELAY);
      } else {
        isRead = isRead && !HistoryLostException.isIn(error);
        schedule(this::follow, RETRY_DELAY);
      }
    }

    private void apply(TableChanges changes) {
      if (changes.isWhole()) {
        known.clear();
      }
      changes.updated().forEach(row -> known.put(row.key(), digest(row).toString()));
      changes.removed().forEach(known::remove);
      version = changes.version();
      isRead = true;
    }

    private void check(long askedNanos) {
      history.forEach(
          (key, values) -> {
            String value = known.get(key);
            if (!wasValue(values, value, askedNanos)) {
              violations.add(id + " believes " + key + " = " + value + " at " + clock.nanoTime());
            }
          });
    }

    /** Records the age of what a reachable entry that was calm for a while believes. */
    void measureAge() {
      long now = clock.nanoTime();
      if (isUnreachable()) {
        calmSinceNanos = now;
      } else if (now - calmSinceNanos > Duration.ofSeconds(3).toNanos() && isRead) {
        Duration age = Duration.ofNanos(now - confirmedNanos);
        maxAge = age.compareTo(maxAge) > 0 ? age : maxAge;
      }
    }
  }

  SharedTablesRun(int count, long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < ROWS; i++) {
      put("k" + i, "0");
    }
    for (int i = 0; i < count; i++) {
      AvailabilityZone zone = new AvailabilityZone("z" + i / ENTRIES_PER_ZONE);
      PeerId id = new PeerId("entry-" + i);
      peers.add(
          new EntryPeer(id, zone, InetSocketAddress.createUnresolved("h", 1), clock.nanoTime()));
      entries.add(new Entry(id, zone));
    }
    for (Entry entry : entries) {
      schedule(entry::follow, Duration.ofMillis(random.nextInt(500)));
    }
  }

  private static Object digest(Row row) {
    return row.value().split("\\|")[0];
  }

  private Entry find(PeerId id) {
    return entries.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
  }

  private void schedule(Runnable task, Duration delay) {
    scheduler.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void put(String key, String value) {
    table.put(key, value);
    Row row = table.getRows().get(FakeTable.newKey(key));
    history
        .computeIfAbsent(FakeTable.newKey(key), k -> new ArrayList<>())
        .add(
            new Value(
                clock.nanoTime(), Optional.ofNullable(row).map(r -> "" + digest(r)).orElse(null)));
  }

  /** Tests whether a row had a value at some time since a question. */
  private static boolean wasValue(List<Value> values, String value, long sinceNanos) {
    for (int i = values.size() - 1; i >= 0; i--) {
      if (Objects.equals(values.get(i).value(), value)) {
        return true;
      }
      if (values.get(i).sinceNanos() <= sinceNanos) {
        return false;
      }
    }
    return value == null;
  }

  /** Runs for a time in which rows change and, if wanted, faults strike. */
  void run(Duration length, boolean hasFaults) {
    for (long millis = 0; millis < length.toMillis(); millis += 10) {
      scheduler.advance(Duration.ofMillis(10));
      int change = random.nextInt(100);
      String key = "k" + random.nextInt(ROWS);
      if (change < 10) {
        put(key, random.nextInt(10) == 0 ? null : "v" + random.nextInt(1000) + "|" + millis);
      } else if (change < 60) {
        Row row = table.getRows().get(FakeTable.newKey(key));
        put(key, row == null ? null : digest(row) + "|" + millis);
      } else if (change == 60 && hasFaults && random.nextInt(5) == 0) {
        table.compact();
      }
      if (hasFaults && millis % 500 == 0) {
        strike(entries.get(random.nextInt(entries.size())));
      }
      entries.forEach(Entry::measureAge);
    }
  }

  private void strike(Entry entry) {
    Duration length = Duration.ofMillis(200 + random.nextInt(4000));
    switch (random.nextInt(4)) {
      case 0 -> {
        entry.isFrozen = true;
        schedule(() -> entry.isFrozen = false, length);
      }
      case 1 -> {
        entry.isCutFromStore = true;
        schedule(() -> entry.isCutFromStore = false, length);
      }
      case 2 -> {
        entry.isCutFromEntries = true;
        schedule(() -> entry.isCutFromEntries = false, length);
      }
      default -> {
        if (random.nextInt(20) == 0) {
          isStoreDown = true;
          schedule(() -> isStoreDown = false, length);
        }
      }
    }
  }

  /** Freezes the entry of each availability zone that reads for the others. */
  void freezeReaders() {
    entries.stream()
        .filter(e -> new ReaderSelector(e.id, e.zone, 0).select(peers, clock.nanoTime()).isEmpty())
        .forEach(e -> e.isFrozen = true);
  }

  /** Changes the values of all rows at once. */
  void changeAllRows(String value) {
    for (int i = 0; i < ROWS; i++) {
      put("k" + i, value + i);
    }
  }

  /** Returns the length of the longest answer of an entry. */
  long getMaxAnswerLength() {
    return maxAnswerLength;
  }

  /** Returns the oldest age of what any reachable entry believed. */
  Duration getMaxAge() {
    return maxAge;
  }

  int getReads() {
    return table.getReads();
  }

  List<String> getViolations() {
    return violations;
  }
}
