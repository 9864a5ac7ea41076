package io.fireflyshed.transport.poison;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashLedger;
import io.fireflyshed.coordination.poison.Refusal;
import io.fireflyshed.protocol.poison.RefusalRow;
import io.fireflyshed.protocol.poison.RefusalRowCodec;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Converts refusals to rows of the table of crash reports and back, and knows which rows there are.
 * Used on the control thread only.
 */
final class RefusalRows {

  /** The prefix of the keys of the rows. */
  static final String PREFIX = "refusal/";

  /** Stands for the version of a row that was written and not read yet. */
  private static final long UNREAD = 0;

  private final TableService table;
  private final CrashLedger ledger;
  private final String source;
  private final MonotonicClock clock;
  private final SharedClock sharedClock;
  private final EventLog log = new EventLog("crashes");

  /** The versions of the rows of refused fingerprints, as far as known. */
  private final Map<CrashFingerprint, Long> versions = new HashMap<>();

  /**
   * Creates an empty list.
   *
   * @param table writes rows, not null
   * @param ledger knows the refusals, not null
   * @param source identifies this entry in its rows, not null
   * @param clock the clock of this process, not null
   * @param sharedClock the time that all entries share, derived from the clock, not null
   */
  RefusalRows(
      TableService table,
      CrashLedger ledger,
      String source,
      MonotonicClock clock,
      SharedClock sharedClock) {
    this.table = table;
    this.ledger = ledger;
    this.source = source;
    this.clock = clock;
    this.sharedClock = sharedClock;
  }

  static RowKey toKey(CrashFingerprint fingerprint) {
    return new RowKey(CrashReportExchange.TABLE, PREFIX + fingerprint);
  }

  /** Finds the refused fingerprint that a row describes, empty for a report. */
  Optional<CrashFingerprint> findFingerprint(RowKey key) {
    if (!key.key().startsWith(PREFIX)) {
      return Optional.empty();
    }
    try {
      return Optional.of(CrashFingerprint.parse(key.key().substring(PREFIX.length())));
    } catch (IllegalArgumentException e) {
      log.warn("malformed refusal", "key", key.key(), "error", e.getMessage());
      return Optional.empty();
    }
  }

  boolean isListed(CrashFingerprint fingerprint) {
    return versions.containsKey(fingerprint);
  }

  /** Tests whether a row has not changed since a version was read, as far as known. */
  boolean isCurrent(CrashFingerprint fingerprint, long version) {
    return versions.getOrDefault(fingerprint, UNREAD) == version;
  }

  /** Returns a copy of the fingerprints that have a row. */
  Set<CrashFingerprint> getListed() {
    return Set.copyOf(versions.keySet());
  }

  void onRead(CrashFingerprint fingerprint, long version) {
    versions.put(fingerprint, version);
  }

  void onWritten(CrashFingerprint fingerprint) {
    versions.putIfAbsent(fingerprint, UNREAD);
  }

  void onRemoved(CrashFingerprint fingerprint) {
    versions.remove(fingerprint);
  }

  String encode(CrashFingerprint fingerprint, Refusal refusal) {
    Optional<Duration> trialTime =
        refusal.trials() > 0
            ? sharedClock.toSharedTime(refusal.trialNanos())
            : Optional.<Duration>empty();
    return RefusalRowCodec.encode(
        new RefusalRow(
            source,
            ledger.countCrashes(fingerprint),
            sharedClock.toSharedTime(refusal.sinceNanos()),
            refusal.trials(),
            trialTime));
  }

  Refusal toRefusal(RefusalRow row, long nowNanos) {
    return new Refusal(
        toPastNanos(row.refusedTime(), nowNanos),
        row.trials(),
        toPastNanos(row.trialTime(), nowNanos));
  }

  private long toPastNanos(Optional<Duration> sharedTime, long nowNanos) {
    long nanos = sharedTime.map(sharedClock::toNanos).orElse(OptionalLong.empty()).orElse(nowNanos);
    return nanos - nowNanos > 0 ? nowNanos : nanos;
  }

  /**
   * Tests whether this process knows of trials that a row lacks, as after a restore of the table.
   */
  boolean isBehind(CrashFingerprint fingerprint, RefusalRow row) {
    return ledger.findRefusal(fingerprint).filter(r -> r.trials() > row.trials()).isPresent();
  }

  /** Writes what this process knows of a refusal, provided that its row has not changed. */
  CompletableFuture<CommitResult> rewrite(CrashFingerprint fingerprint, long version) {
    Optional<Refusal> refusal = ledger.findRefusal(fingerprint);
    if (refusal.isEmpty()) {
      return CompletableFuture.completedFuture(new CommitResult(false, List.of()));
    }
    RowKey key = toKey(fingerprint);
    return table.commit(
        new Transaction(
            List.of(new Condition(key, version)),
            List.of(Write.ofPut(key, encode(fingerprint, refusal.get())))));
  }

  /**
   * Writes that a trial of refused fingerprints begins, provided that no other entry changed their
   * rows.
   *
   * @return whether this entry makes the trial; a failure doesn't tell
   */
  CompletableFuture<Boolean> claimTrial(Set<CrashFingerprint> fingerprints) {
    if (fingerprints.stream().anyMatch(f -> versions.getOrDefault(f, UNREAD) == UNREAD)) {
      return CompletableFuture.completedFuture(false);
    }
    long now = clock.nanoTime();
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    for (CrashFingerprint fingerprint : fingerprints) {
      RowKey key = toKey(fingerprint);
      conditions.add(new Condition(key, versions.get(fingerprint)));
      // A claim whose response is lost may have been committed, so it counts.
      ledger.recordTrial(fingerprint, now);
      Refusal refusal = ledger.findRefusal(fingerprint).orElseThrow();
      writes.add(Write.ofPut(key, encode(fingerprint, refusal)));
    }
    return table.commit(new Transaction(conditions, writes)).thenApply(CommitResult::isCommitted);
  }
}
