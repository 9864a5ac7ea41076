package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.directory.ReaderSelector;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.table.RemoteTables;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Follows tables through one entry of the availability zone, which reads the table service for all
 * of them.
 *
 * <p>An answer reflects a read that began after the question was sent, so its age counts from the
 * question by the clock of the entry that asked, whatever the reader does. If the reader doesn't
 * answer in time, can't read the table or is lost, this entry reads the table itself at once and
 * asks the next reader from then on. An entry that is asked reads the table service itself.
 *
 * <p>Rows are kept, so that only changes are asked for. What exceeds a length comes from the table
 * service itself, since such answers to all entries at once would exceed the network link of the
 * reader. Futures complete on the control thread; {@link #answer} may be called on any thread.
 */
public final class SharedTableFeed implements TableFeed {

  /**
   * Determines how a table is followed.
   *
   * @param interval the shortest time between two reads of the table service, not null
   * @param maxWait the longest wait of a read for a change, not null; if it is not zero, answers
   *     may reflect reads that began before their questions
   * @param digester returns what is significant of a row; other changes aren't passed on, not null
   */
  public record TableSettings(Duration interval, Duration maxWait, Function<Row, Object> digester) {

    /** Validates the components. */
    public TableSettings {
      Objects.requireNonNull(interval, "interval");
      Objects.requireNonNull(maxWait, "maxWait");
      Objects.requireNonNull(digester, "digester");
    }
  }

  /** The time for the reader's call and the way to it and back, in addition to the interval. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(400);

  /**
   * The largest sum of the lengths of the values in an answer, in characters. Such answers to 18
   * entries take a link of 20 Mbit/s half a second. A direct read costs each entry more, since it
   * has the rows that changed insignificantly, too.
   */
  private static final int MAX_ANSWER_LENGTH = 64 * 1024;

  private final TableFeed store;
  private final RemoteTables remote;
  private final Supplier<List<EntryPeer>> entries;
  private final ReaderSelector selector;
  private final Map<String, TableSettings> settings;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final MeterRegistry metrics;
  private final EventLog log = new EventLog("tables");
  private final Map<String, TableMirror> mirrors = new HashMap<>();
  private final Map<String, TableCopy> copies = new HashMap<>();
  private final Map<String, Long> directReadNanos = new HashMap<>();
  private Optional<EntryPeer> reader = Optional.empty();

  /**
   * Creates a feed.
   *
   * @param store reads the table service, not null
   * @param remote asks other entries, not null
   * @param entries lists the known entries of all availability zones, not null
   * @param selector selects the reader, not null
   * @param settings the settings of each table that is followed, not null
   * @param control the executor of the control thread, not null
   * @param clock the monotonic clock of this process, not null
   * @param metrics registers the counters of reads, not null
   */
  public SharedTableFeed(
      TableFeed store,
      RemoteTables remote,
      Supplier<List<EntryPeer>> entries,
      ReaderSelector selector,
      Map<String, TableSettings> settings,
      ScheduledExecutorService control,
      MonotonicClock clock,
      MeterRegistry metrics) {
    this.store = Objects.requireNonNull(store, "store");
    this.remote = Objects.requireNonNull(remote, "remote");
    this.entries = Objects.requireNonNull(entries, "entries");
    this.selector = Objects.requireNonNull(selector, "selector");
    this.settings = Map.copyOf(settings);
    this.control = Objects.requireNonNull(control, "control");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
  }

  @Override
  public CompletableFuture<TableChanges> readAll(String table) {
    TableCopy copy = getCopy(table);
    return refresh(table, copy).thenApply(changes -> copy.toWhole());
  }

  /**
   * Returns the changes after the next read, or all rows if the version isn't that of the last
   * result. The read ends as the settings of the table say.
   */
  @Override
  public CompletableFuture<TableChanges> awaitChanges(
      String table, long version, Duration maxWait) {
    TableCopy copy = getCopy(table);
    boolean isCurrent = copy.isRead() && copy.getVersion() == version;
    return refresh(table, copy).thenApply(changes -> isCurrent ? changes : copy.toWhole());
  }

  private TableCopy getCopy(String table) {
    return copies.computeIfAbsent(table, t -> new TableCopy());
  }

  /** Reads the changes since the last read, or all rows, and applies them to the copy. */
  private CompletableFuture<TableChanges> refresh(String table, TableCopy copy) {
    return read(new TableQuestion(table, copy.getVersion(), !copy.isRead()))
        .thenCompose(
            changes ->
                copy.isApplicable(changes)
                    ? CompletableFuture.completedFuture(changes)
                    : store.readAll(table))
        .thenApplyAsync(
            changes -> {
              copy.apply(changes);
              return changes;
            },
            control);
  }

  /**
   * Answers a question of another entry by a read of the table service.
   *
   * @param question the question, not null
   * @return a future of the answer
   */
  public CompletableFuture<TableChanges> answer(TableQuestion question) {
    CompletableFuture<TableChanges> answer = new CompletableFuture<>();
    try {
      control.execute(() -> answer(question, answer));
    } catch (RejectedExecutionException e) {
      answer.completeExceptionally(newException("the entry stops"));
    }
    return answer;
  }

  private void answer(TableQuestion question, CompletableFuture<TableChanges> answer) {
    if (!settings.containsKey(question.table())) {
      answer.completeExceptionally(newException("the table is not followed"));
      return;
    }
    count("answered", question.table());
    getMirror(question.table())
        .ask(question)
        .whenComplete(
            (changes, error) -> {
              if (error != null) {
                answer.completeExceptionally(error);
              } else if (getLength(changes) > MAX_ANSWER_LENGTH) {
                answer.completeExceptionally(
                    new HistoryLostException("read-table", question.table()));
              } else {
                answer.complete(changes);
              }
            });
  }

  private static long getLength(TableChanges changes) {
    return changes.updated().stream().mapToLong(row -> row.value().length()).sum();
  }

  private static NoEffectException newException(String message) {
    return new NoEffectException("read-table", "entry", message, null);
  }

  private TableMirror getMirror(String table) {
    return mirrors.computeIfAbsent(
        table, t -> new TableMirror(t, store, settings.get(t), control, clock));
  }

  private CompletableFuture<TableChanges> read(TableQuestion question) {
    List<EntryPeer> known = entries.get();
    selector.retain(known);
    Optional<EntryPeer> selected = selector.select(known, clock.nanoTime());
    logReader(selected);
    if (selected.isEmpty()) {
      count("own", question.table());
      return getMirror(question.table()).ask(question);
    }
    if (question.isWhole()) {
      return readDirectly(question);
    }
    EntryPeer asked = selected.get();
    count("asked", question.table());
    TableSettings table = settings.get(question.table());
    Duration timeout = table.interval().plus(table.maxWait()).plus(ANSWER_MARGIN);
    return remote
        .ask(asked, question, timeout)
        .handleAsync((changes, error) -> onAnswer(question, asked, changes, error), control)
        .thenCompose(Function.identity());
  }

  private void logReader(Optional<EntryPeer> selected) {
    if (!selected.map(EntryPeer::id).equals(reader.map(EntryPeer::id))) {
      log.info("reader selected", "reader", selected.map(e -> e.id().value()).orElse("self"));
      reader = selected;
    }
  }

  private CompletableFuture<TableChanges> onAnswer(
      TableQuestion question, EntryPeer asked, TableChanges changes, Throwable error) {
    if (error == null) {
      selector.onSuccess(asked.id());
      return CompletableFuture.completedFuture(changes);
    }
    if (HistoryLostException.isIn(error)) {
      // The reader is sound, but has more to tell than a link should carry for all entries.
      return readDirectly(question);
    }
    log.info(
        "reader failed",
        "reader",
        asked.id(),
        "table",
        question.table(),
        "error",
        error.getMessage());
    selector.onFailure(asked.id(), clock.nanoTime());
    return readDirectly(question);
  }

  /** Reads the table service, but not sooner than the interval of the table after the last time. */
  private CompletableFuture<TableChanges> readDirectly(TableQuestion question) {
    String table = question.table();
    count("direct", table);
    Long lastNanos = directReadNanos.get(table);
    long now = clock.nanoTime();
    long intervalNanos = settings.get(table).interval().toNanos();
    long waitNanos = lastNanos == null ? 0 : Math.max(0, lastNanos + intervalNanos - now);
    directReadNanos.put(table, now + waitNanos);
    CompletableFuture<Void> turn = new CompletableFuture<>();
    control.schedule((Runnable) () -> turn.complete(null), waitNanos, TimeUnit.NANOSECONDS);
    return turn.thenCompose(ignored -> callStore(question));
  }

  private CompletableFuture<TableChanges> callStore(TableQuestion question) {
    String table = question.table();
    if (question.isWhole()) {
      return store.readAll(table);
    }
    return store
        .awaitChanges(table, question.version(), settings.get(table).maxWait())
        .handle(
            (changes, error) ->
                error != null && HistoryLostException.isIn(error)
                    ? store.readAll(table)
                    : toFuture(changes, error))
        .thenCompose(Function.identity());
  }

  private static CompletableFuture<TableChanges> toFuture(TableChanges changes, Throwable error) {
    return error == null
        ? CompletableFuture.completedFuture(changes)
        : CompletableFuture.failedFuture(error);
  }

  private void count(String way, String table) {
    metrics.counter("fireflyshed.table.reads", "way", way, "table", table).increment();
  }
}
