package io.fireflyshed.transport.poison;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** A table in virtual time that many entries share and of which some may be cut off. */
final class SharedTable {

  /** The time after which a call without a response fails. */
  private static final Duration TIMEOUT = Duration.ofMillis(1500);

  /** A call that waits for a change or for its timeout. */
  private static final class Pending {
    private final Access access;
    private final long dueNanos;
    private final Runnable onResponse;
    private final Runnable onTimeout;

    /** Whether the response is lost, so that the call ends at its timeout only. */
    private boolean isLost;

    Pending(Access access, long dueNanos, boolean isLost, Runnable onResponse, Runnable onTimeout) {
      this.access = access;
      this.dueNanos = dueNanos;
      this.isLost = isLost;
      this.onResponse = onResponse;
      this.onTimeout = onTimeout;
    }
  }

  /**
   * Creates the shared clock of an entry that has read the time of the table service.
   *
   * @param clock the time of the table service, not null
   * @param entryClock the clock of the entry, not null
   */
  static SharedClock newSharedClock(ManualClock clock, MonotonicClock entryClock) {
    SharedClock sharedClock = new SharedClock(entryClock);
    long entryNanos = entryClock.nanoTime();
    sharedClock.onRead(Duration.ofNanos(clock.nanoTime()), entryNanos, entryNanos);
    return sharedClock;
  }

  /** The access of one entry, which can be cut off. */
  final class Access implements TableService, TableFeed {
    private boolean isCut;

    /** Cuts the entry off, which loses the calls under way, or ends that. */
    void setCut(boolean isCut) {
      this.isCut = isCut;
      pending.stream().filter(p -> isCut && p.access == this).forEach(p -> p.isLost = true);
    }

    boolean isReachable() {
      return !isCut && !isSilent;
    }

    private <T> CompletableFuture<T> call(Duration wait, Supplier<T> reply) {
      if (!isReachable()) {
        CompletableFuture<T> lost = new CompletableFuture<>();
        addPending(lost, wait, true, () -> {});
        return lost;
      }
      try {
        return CompletableFuture.completedFuture(reply.get());
      } catch (HistoryLostException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    @Override
    public CompletableFuture<Optional<Row>> read(RowKey key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<List<Row>> scan(String table, String prefix) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
      return call(Duration.ZERO, () -> apply(transaction));
    }

    @Override
    public CompletableFuture<TableChanges> readAll(String table) {
      return call(
          Duration.ZERO,
          () ->
              new TableChanges(version, restoreCount, true, List.copyOf(rows.values()), Set.of()));
    }

    @Override
    public CompletableFuture<TableChanges> awaitChanges(
        String table, long after, Duration maxWait) {
      CompletableFuture<TableChanges> changes = call(maxWait, () -> getChanges(after));
      if (!changes.isDone() || changes.isCompletedExceptionally() || hasChanges(changes.join())) {
        return changes;
      }
      CompletableFuture<TableChanges> later = new CompletableFuture<>();
      addPending(later, maxWait, false, () -> complete(later, after));
      return later;
    }

    private void addPending(
        CompletableFuture<?> future, Duration wait, boolean isLost, Runnable onResponse) {
      Runnable fail =
          () -> future.completeExceptionally(new EffectUnknownException("call", "table", null));
      long due = clock.nanoTime() + wait.toNanos() + (isLost ? TIMEOUT.toNanos() : 0);
      pending.add(new Pending(this, due, isLost, onResponse, fail));
    }
  }

  private final ManualClock clock;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private final Map<RowKey, Long> removals = new HashMap<>();
  private final List<Pending> pending = new ArrayList<>();
  private long version = 1;
  private long historyStart;
  private long restoreCount;
  private boolean isSilent;
  private int writes;

  SharedTable(ManualClock clock) {
    this.clock = clock;
  }

  /** Makes the table ignore all calls, also those under way, or ends that. */
  void setSilent(boolean isSilent) {
    this.isSilent = isSilent;
    pending.stream().filter(p -> isSilent).forEach(p -> p.isLost = true);
  }

  void dropHistory() {
    historyStart = version;
  }

  /** Loses all rows that were written after a copy was taken. */
  void restore(Map<RowKey, Row> copy, long copyVersion) {
    rows.clear();
    rows.putAll(copy);
    version = copyVersion;
    historyStart = copyVersion;
    restoreCount++;
    removals.clear();
  }

  Map<RowKey, Row> copyRows() {
    return Map.copyOf(rows);
  }

  long getVersion() {
    return version;
  }

  int getWrites() {
    return writes;
  }

  /** Completes the calls whose time has passed. */
  void runDue() {
    List<Pending> due = pending.stream().filter(p -> p.dueNanos - clock.nanoTime() <= 0).toList();
    pending.removeAll(due);
    due.forEach(p -> (p.isLost ? p.onTimeout : p.onResponse).run());
  }

  private CommitResult apply(Transaction transaction) {
    writes++;
    for (Condition condition : transaction.conditions()) {
      Row row = rows.get(condition.key());
      if (condition.version() != (row == null ? Condition.ABSENT : row.version())) {
        return new CommitResult(false, List.of(condition.key()));
      }
    }
    version++;
    for (Write write : transaction.writes()) {
      if (write.value().isPresent()) {
        rows.put(write.key(), new Row(write.key(), version, write.value().get()));
        removals.remove(write.key());
      } else if (rows.remove(write.key()) != null) {
        removals.put(write.key(), version);
      }
    }
    List<Pending> answered = pending.stream().filter(p -> !p.isLost).toList();
    pending.removeAll(answered);
    answered.forEach(p -> p.onResponse.run());
    return new CommitResult(true, List.of());
  }

  private void complete(CompletableFuture<TableChanges> future, long after) {
    try {
      future.complete(getChanges(after));
    } catch (HistoryLostException e) {
      future.completeExceptionally(e);
    }
  }

  private static boolean hasChanges(TableChanges changes) {
    return !changes.updated().isEmpty() || !changes.removed().isEmpty();
  }

  private TableChanges getChanges(long after) {
    if (after < historyStart || after > version) {
      throw new HistoryLostException("await", "table");
    }
    List<Row> updated = rows.values().stream().filter(r -> r.version() > after).toList();
    Set<RowKey> removed =
        removals.entrySet().stream()
            .filter(e -> e.getValue() > after)
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    boolean isChanged = !updated.isEmpty() || !removed.isEmpty();
    return new TableChanges(isChanged ? version : after, restoreCount, false, updated, removed);
  }
}
