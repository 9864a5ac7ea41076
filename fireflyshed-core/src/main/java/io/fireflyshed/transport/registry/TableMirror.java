package io.fireflyshed.transport.registry;

import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.registry.SharedTableFeed.TableSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Reads a table for questions of this and other entries, all of them with one read at a time.
 *
 * <p>A question is answered by a read that began after the question arrived, so that the entry that
 * asked can tell the age of the answer by its own clock; only where reads wait for changes, it is
 * answered by the next read that ends. Reads keep a distance from each other. Rows that changed
 * only in what nobody needs are not told. Used on the control thread only.
 */
final class TableMirror {

  /** The age of the version of the last row that requires a full read; stores keep more history. */
  private static final Duration MAX_VERSION_AGE = Duration.ofSeconds(8);

  /** Limits the removed rows that are remembered for entries that know an older version. */
  private static final int MAX_REMOVED = 2000;

  /** Limits the versions of earlier reads that are remembered. */
  private static final int MAX_READ_VERSIONS = 1000;

  /**
   * Holds a row, or null if it was removed.
   *
   * @param version the version of its last change, as far as it is known
   * @param significantVersion the version of its last significant change between two reads
   */
  private record Entry(Row row, Object digest, long version, long significantVersion) {}

  private record PendingQuestion(TableQuestion question, CompletableFuture<TableChanges> answer) {}

  private final String table;
  private final TableFeed feed;
  private final TableSettings settings;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final Map<RowKey, Entry> entries = new HashMap<>();

  /** The versions of the last reads, whose significant changes are known one by one. */
  private final TreeSet<Long> readVersions = new TreeSet<>();

  private List<PendingQuestion> pending = new ArrayList<>();
  private long version;
  private long restoreCount;

  /** The oldest version from which the changes are known. */
  private long firstVersion;

  /**
   * The versions before and after the last full read. Rows that were added and removed between them
   * are not known, but may be to an entry that knows a version between them.
   */
  private long gapStart;

  private long gapEnd;

  private long versionNanos;
  private long readNanos;
  private boolean isFullReadNeeded = true;
  private boolean isReading;
  private boolean isScheduled;
  private boolean hasRead;
  private boolean isFirstRead = true;

  /**
   * Creates an empty mirror.
   *
   * @param table the table, not null
   * @param feed reads the table, not null
   * @param settings the interval of reads and what is significant of a row, not null
   * @param control the executor of the control thread, not null
   * @param clock the monotonic clock of this process, not null
   */
  TableMirror(
      String table,
      TableFeed feed,
      TableSettings settings,
      ScheduledExecutorService control,
      MonotonicClock clock) {
    this.table = Objects.requireNonNull(table, "table");
    this.feed = Objects.requireNonNull(feed, "feed");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.control = Objects.requireNonNull(control, "control");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Answers a question after the next read. */
  CompletableFuture<TableChanges> ask(TableQuestion question) {
    CompletableFuture<TableChanges> answer = new CompletableFuture<>();
    pending.add(new PendingQuestion(question, answer));
    scheduleRead();
    return answer;
  }

  private void scheduleRead() {
    if (isReading || isScheduled || pending.isEmpty()) {
      return;
    }
    long waitNanos = hasRead ? readNanos + settings.interval().toNanos() - clock.nanoTime() : 0;
    isScheduled = true;
    control.schedule(this::read, Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
  }

  private void read() {
    isScheduled = false;
    isReading = true;
    hasRead = true;
    readNanos = clock.nanoTime();
    List<PendingQuestion> included = pending;
    pending = new ArrayList<>();
    boolean isFullRead = isFullReadNeeded || readNanos - versionNanos > MAX_VERSION_AGE.toNanos();
    long sentNanos = readNanos;
    (isFullRead ? feed.readAll(table) : feed.awaitChanges(table, version, settings.maxWait()))
        .whenCompleteAsync((changes, e) -> onRead(changes, e, included, sentNanos), control);
  }

  private void onRead(
      TableChanges changes, Throwable error, List<PendingQuestion> included, long sentNanos) {
    isReading = false;
    if (error == null && isFollowing(changes)) {
      apply(changes, sentNanos);
      if (!settings.maxWait().isZero()) {
        included.addAll(pending);
        pending.clear();
      }
      included.forEach(p -> p.answer().complete(newAnswer(p.question())));
    } else if (error == null || HistoryLostException.isIn(error)) {
      isFullReadNeeded = true;
      readNanos = clock.nanoTime() - settings.interval().toNanos();
      pending.addAll(0, included);
    } else {
      included.forEach(p -> p.answer().completeExceptionally(error));
    }
    scheduleRead();
  }

  /** Tests whether changes can be applied to the known rows. */
  private boolean isFollowing(TableChanges changes) {
    return changes.isWhole() || changes.restoreCount() == restoreCount;
  }

  private void apply(TableChanges changes, long sentNanos) {
    long knownVersion = version;
    boolean isNew = changes.isWhole() && beginAnew(changes);
    if (changes.isWhole() || changes.version() > version) {
      versionNanos = sentNanos;
    }
    version = changes.isWhole() ? changes.version() : Math.max(version, changes.version());
    boolean isMissedChangeFound = false;
    for (Row row : changes.updated()) {
      boolean isSignificant = update(row);
      isMissedChangeFound |= isSignificant && row.version() <= knownVersion;
    }
    for (RowKey key : findRemoved(changes)) {
      boolean isSignificant = remove(key);
      isMissedChangeFound |= isSignificant && version <= knownVersion;
    }
    if (isMissedChangeFound && !isNew) {
      // Entries that know this version may lack the change, and need all rows.
      firstVersion = version + 1;
    }
    readVersions.add(version);
    if (readVersions.size() > MAX_READ_VERSIONS) {
      readVersions.pollFirst();
    }
    forgetRemoved();
  }

  /** Applies the version of a full read; returns whether the known rows can't be compared to it. */
  private boolean beginAnew(TableChanges changes) {
    boolean isRestored = restoreCount != changes.restoreCount() || changes.version() < version;
    boolean isNew = isFirstRead || isRestored;
    if (isNew) {
      entries.clear();
      readVersions.clear();
      firstVersion = changes.version();
    } else {
      firstVersion = Math.max(firstVersion, gapEnd);
    }
    gapStart = isNew ? changes.version() : version;
    gapEnd = changes.version();
    isFirstRead = false;
    isFullReadNeeded = false;
    restoreCount = changes.restoreCount();
    return isNew;
  }

  private Collection<RowKey> findRemoved(TableChanges changes) {
    if (!changes.isWhole()) {
      return changes.removed();
    }
    Set<RowKey> missing = new HashSet<>(entries.keySet());
    changes.updated().forEach(row -> missing.remove(row.key()));
    return missing;
  }

  /** Records a row and returns whether it changed significantly. */
  private boolean update(Row row) {
    Object digest = settings.digester().apply(row);
    Entry known = entries.get(row.key());
    boolean isSignificant = known == null || known.row() == null || !known.digest().equals(digest);
    long significantVersion = isSignificant ? row.version() : known.significantVersion();
    entries.put(row.key(), new Entry(row, digest, row.version(), significantVersion));
    return isSignificant;
  }

  /** Records that a row was removed and returns whether it was known. */
  private boolean remove(RowKey key) {
    Entry known = entries.get(key);
    boolean isSignificant = known != null && known.row() != null;
    long significantVersion = isSignificant || known == null ? version : known.significantVersion();
    entries.put(key, new Entry(null, "", version, significantVersion));
    return isSignificant;
  }

  /** Forgets which rows were removed if there are too many of them. */
  private void forgetRemoved() {
    long removed = entries.values().stream().filter(e -> e.row() == null).count();
    if (removed > MAX_REMOVED) {
      entries.values().removeIf(e -> e.row() == null);
      firstVersion = version;
    }
  }

  /** Tests whether all changes since a version are known. */
  private boolean isHistoryKnown(long since) {
    boolean isInGap = since > gapStart && since < gapEnd;
    return since >= firstVersion && since <= version && !isInGap;
  }

  /**
   * Creates the answer to a question. An entry that knows a version of another reader may know rows
   * as they were between two reads of this one, so it gets all changes.
   */
  private TableChanges newAnswer(TableQuestion question) {
    long since = question.version();
    boolean isWhole = question.isWhole() || !isHistoryKnown(since);
    boolean isReadVersion = readVersions.contains(since);
    List<Row> updated = new ArrayList<>();
    Set<RowKey> removed = new HashSet<>();
    entries.forEach(
        (key, entry) -> {
          long changeVersion = isReadVersion ? entry.significantVersion() : entry.version();
          if (!isWhole && changeVersion <= since) {
            return;
          }
          if (entry.row() != null) {
            updated.add(entry.row());
          } else if (!isWhole) {
            removed.add(key);
          }
        });
    return new TableChanges(version, restoreCount, isWhole, updated, removed);
  }
}
