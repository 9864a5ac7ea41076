package io.fireflyshed.transport.poison;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashId;
import io.fireflyshed.coordination.poison.CrashLedger;
import io.fireflyshed.coordination.poison.Refusal;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.protocol.poison.CrashReportCodec;
import io.fireflyshed.protocol.poison.RefusalRow;
import io.fireflyshed.protocol.poison.RefusalRowCodec;
import io.fireflyshed.protocol.poison.ReportedCrash;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.forward.CrashGuard;
import io.fireflyshed.transport.forward.CrashTrial;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import reactor.core.publisher.Mono;

/**
 * Tells all entries which requests, and which parts of prompts, crash targets, through a table of
 * the table service.
 *
 * <p>The table has two kinds of rows. Each entry writes its reports into a ring of rows of its own;
 * they only matter to the processes that run at that time. What is refused has a row, which
 * processes that start later read, too; it is removed when the refusal expires or turns out to be
 * wrong. An entry that the table service does not answer knows what it saw itself, and tells the
 * others as soon as it can.
 *
 * <p>The methods of {@link CrashGuard} may be called on any thread; all other steps run on the
 * control thread.
 */
public final class CrashReportExchange implements CrashGuard {

  /** The table of the reports. */
  public static final String TABLE = "crashes";

  private static final String REPORT_PREFIX = "report/";

  /** The number of rows for the reports of one entry. */
  private static final int REPORT_SLOTS = 64;

  /** Collects the reports of requests that a crash interrupted at the same time. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(50);

  /** Spreads the reports that clear something, since one of them suffices. */
  private static final Duration CLEARANCE_SPREAD = Duration.ofMillis(100);

  /** Limits the writes of all entries together while many connections break off. */
  private static final Duration MIN_WRITE_INTERVAL = Duration.ofMillis(500);

  /** Limits the writes that clear something, which must arrive before it is refused. */
  private static final Duration MIN_CLEARANCE_INTERVAL = Duration.ofMillis(150);

  /** The time after which all rows are read again; the table service keeps changes for longer. */
  private static final Duration FULL_READ_INTERVAL = Duration.ofSeconds(12);

  /** Joins the reports of all entries on one crash into few reads. */
  private static final Duration READ_DELAY = Duration.ofMillis(300);

  /** The longest wait for a change, well below the time for which the table service keeps them. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(8);

  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  /** Leaves time for reports that clear a request before its refusal is written. */
  private static final Duration MIN_REFUSAL_DELAY = Duration.ofMillis(100);

  /** Spreads the writes of entries that come to the same conclusion at the same time. */
  private static final Duration REFUSAL_SPREAD = Duration.ofMillis(200);

  /** The time that an entry leaves for writes to the one that writes for it. */
  private static final Duration DELEGATION = Duration.ofSeconds(3);

  /** Limits the fingerprints that wait to be reported, which must fit into one row. */
  private static final int MAX_PENDING = 400;

  private final TableService table;
  private final TableFeed feed;
  private final ReportWriter writer;
  private final String reportPrefix;
  private final CrashLedger ledger;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final SharedClock sharedClock;
  private final UniformRandomProvider random;
  private final EventLog log = new EventLog("crashes");

  private Map<CrashId, ReportedCrash> pendingCrashes = new LinkedHashMap<>();
  private int pendingCount;
  private Set<CrashFingerprint> pendingCleared = new HashSet<>();
  private Set<CrashFingerprint> pendingCommon = new HashSet<>();
  private int slot;
  private boolean isWriting;
  private boolean isJudgementScheduled;
  private boolean isJudgementRepeated;
  private long lastWriteNanos;
  private OptionalLong writeDueNanos = OptionalLong.empty();

  private final RefusalRows refusalRows;
  private final RefusalTrials trials;
  private long version;
  private long reportVersion;
  private long restoreCount;
  private long fullReadNanos;
  private long lastReadNumber;
  private boolean isFullReadNeeded = true;
  private boolean isTableLost;
  private volatile boolean isRead;

  /**
   * Creates an exchange.
   *
   * @param table writes rows, not null
   * @param feed reads rows, not null
   * @param writer has reports written by another entry, not null
   * @param entry the name of this entry, which a later process on the same instance keeps, not null
   * @param ledger counts the crashes, not null
   * @param control the executor of the control thread, not null
   * @param clock the clock of this process, which includes suspended time, not null
   * @param sharedClock the time that all entries share, derived from the clock, not null
   * @param random spreads the writes of many entries; used on the control thread only, not null
   */
  public CrashReportExchange(
      TableService table,
      TableFeed feed,
      ReportWriter writer,
      String entry,
      CrashLedger ledger,
      ScheduledExecutorService control,
      MonotonicClock clock,
      SharedClock sharedClock,
      UniformRandomProvider random) {
    this.table = table;
    this.feed = feed;
    this.writer = writer;
    this.reportPrefix = REPORT_PREFIX + entry + "/";
    this.ledger = ledger;
    this.control = control;
    this.clock = clock;
    this.sharedClock = sharedClock;
    this.random = random;
    this.lastWriteNanos = clock.nanoTime() - MIN_WRITE_INTERVAL.toNanos();
    this.refusalRows = new RefusalRows(table, ledger, reportPrefix, clock, sharedClock);
    this.trials = new RefusalTrials(ledger, refusalRows::claimTrial, control, clock, log);
  }

  /** Starts to follow the reports of the other entries. */
  public void start() {
    control.execute(this::read);
  }

  /**
   * Tests whether the refused requests were read at least once since the start of the process.
   *
   * @return true after the first successful read
   */
  public boolean isRead() {
    return isRead;
  }

  @Override
  public Optional<Duration> getRefusal(RequestFingerprints request) {
    long now = clock.nanoTime();
    return request.stream()
        .map(fingerprint -> ledger.getRefusal(fingerprint, now))
        .flatMap(Optional::stream)
        .max(Comparator.naturalOrder());
  }

  @Override
  public Mono<CrashTrial> requestTrial(RequestFingerprints request) {
    return trials.request(request);
  }

  /**
   * Counts the trials of refused requests at this entry.
   *
   * @param outcome the outcome of the trials, not null
   * @return the number since the start of the process
   */
  public long countTrials(TrialOutcome outcome) {
    return trials.count(outcome);
  }

  @Override
  public void onInterrupted(RequestFingerprints request, Target target) {
    trials.onInterrupted(request);
    CrashId id = new CrashId(target.id(), target.startMillis());
    long now = clock.nanoTime();
    ReportedCrash crash = new ReportedCrash(sharedClock.toSharedTime(now), List.of(request));
    recordCrash(id, crash);
    control.execute(() -> addPendingCrash(id, crash));
  }

  @Override
  public void onSuccess(RequestFingerprints request) {
    long now = clock.nanoTime();
    trials.onSuccess(request);
    ledger.recordSuccess(request, now);
    request.stream().forEach(this::shareSuccess);
  }

  private void recordCrash(CrashId id, ReportedCrash crash) {
    long now = clock.nanoTime();
    long crashNanos =
        crash.sharedTime().map(sharedClock::toNanos).orElse(OptionalLong.empty()).orElse(now);
    boolean isJudgementDue = false;
    for (RequestFingerprints request : crash.requests()) {
      isJudgementDue |= ledger.recordCrash(request, id, crashNanos, now);
      request.stream().forEach(this::shareSuccess);
      request.parts().forEach(this::shareCommon);
    }
    if (isJudgementDue) {
      judge();
      control.execute(this::scheduleJudgement);
    }
  }

  /** Judges again when all crashes that are known now have settled. */
  private void scheduleJudgement() {
    if (isJudgementScheduled) {
      isJudgementRepeated = true;
      return;
    }
    isJudgementScheduled = true;
    schedule(this::judgeSettled, ledger.getSettleTime());
  }

  private void judgeSettled() {
    isJudgementScheduled = false;
    judge();
    if (isJudgementRepeated) {
      isJudgementRepeated = false;
      scheduleJudgement();
    }
  }

  private void judge() {
    long now = clock.nanoTime();
    CrashLedger.Judgement judgement = ledger.judge(now);
    for (CrashFingerprint fingerprint : judgement.refused()) {
      log.warn(
          "fingerprint refused",
          "fingerprint",
          fingerprint,
          "crashes",
          ledger.describeCrashes(fingerprint, now),
          "share_of_successes",
          ledger.getShareOfSuccesses(fingerprint, now));
      control.execute(() -> scheduleRefusal(fingerprint));
    }
    for (CrashFingerprint fingerprint : judgement.released()) {
      log.info("fingerprint released", "fingerprint", fingerprint);
      control.execute(() -> deleteRefusal(fingerprint));
    }
  }

  /** Clears a suspicious fingerprint that succeeded, at this entry and at all others. */
  private void shareSuccess(CrashFingerprint fingerprint) {
    if (ledger.clearIfSuccessful(fingerprint, clock.nanoTime())) {
      log.info("fingerprint cleared", "fingerprint", fingerprint);
      control.execute(() -> addPendingClearance(fingerprint));
    }
  }

  /** Tells the other entries that a suspicious part is common among what ran. */
  private void shareCommon(CrashFingerprint part) {
    long now = clock.nanoTime();
    if (ledger.tryAnnounceCommon(part, now)) {
      log.info(
          "suspicious part is common",
          "fingerprint",
          part,
          "crashes",
          ledger.countCrashes(part),
          "share_of_successes",
          ledger.getShareOfSuccesses(part, now));
      control.execute(() -> addPendingCommon(part));
    }
  }

  private void addPendingCommon(CrashFingerprint part) {
    if (pendingCommon.size() < MAX_PENDING && pendingCommon.add(part)) {
      scheduleClearance();
    }
  }

  private void scheduleClearance() {
    Duration spread = Duration.ofNanos(random.nextLong(CLEARANCE_SPREAD.toNanos()));
    scheduleWrite(BATCH_DELAY.plus(spread), MIN_CLEARANCE_INTERVAL);
  }

  private void addPendingClearance(CrashFingerprint fingerprint) {
    deleteRefusal(fingerprint);
    if (pendingCleared.size() < MAX_PENDING && pendingCleared.add(fingerprint)) {
      scheduleClearance();
    }
  }

  private void addPendingCrash(CrashId id, ReportedCrash crash) {
    int count = crash.requests().stream().mapToInt(request -> 1 + request.parts().size()).sum();
    if (pendingCount + count > MAX_PENDING) {
      log.info("crash report dropped", "target", id.target(), "pending", pendingCount);
      return;
    }
    pendingCrashes.merge(id, crash, ReportedCrash::join);
    pendingCount += count;
    scheduleWrite(BATCH_DELAY, MIN_WRITE_INTERVAL);
  }

  private void scheduleWrite(Duration delay, Duration minInterval) {
    long now = clock.nanoTime();
    long delayNanos = Math.max(delay.toNanos(), lastWriteNanos + minInterval.toNanos() - now);
    if (writeDueNanos.isPresent() && writeDueNanos.getAsLong() - now <= delayNanos) {
      return;
    }
    long dueNanos = now + delayNanos;
    writeDueNanos = OptionalLong.of(dueNanos);
    schedule(() -> writeIfDue(dueNanos), Duration.ofNanos(delayNanos));
  }

  /** Writes a report unless another time has been chosen since this one. */
  private void writeIfDue(long dueNanos) {
    if (writeDueNanos.isPresent() && writeDueNanos.getAsLong() == dueNanos) {
      writeDueNanos = OptionalLong.empty();
      writeReport();
    }
  }

  private void schedule(Runnable task, Duration delay) {
    control.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void writeReport() {
    if (isWriting || !isReportPending()) {
      return;
    }
    CrashReport report = new CrashReport(pendingCrashes, pendingCleared, pendingCommon);
    pendingCrashes = new LinkedHashMap<>();
    pendingCount = 0;
    pendingCleared = new HashSet<>();
    pendingCommon = new HashSet<>();
    isWriting = true;
    lastWriteNanos = clock.nanoTime();
    writer
        .write(report)
        .orElseGet(() -> commitReport(report))
        .whenCompleteAsync((result, error) -> onReportWritten(report, error), control);
  }

  private boolean isReportPending() {
    return pendingCount > 0 || !pendingCleared.isEmpty() || !pendingCommon.isEmpty();
  }

  private CompletableFuture<Void> commitReport(CrashReport report) {
    RowKey key = new RowKey(TABLE, reportPrefix + slot);
    slot = (slot + 1) % REPORT_SLOTS;
    return commit(List.of(), Write.ofPut(key, CrashReportCodec.encode(report)))
        .thenAccept(isCommitted -> {});
  }

  /**
   * Takes a report of another entry and writes it with the next one of this entry. May be called on
   * any thread.
   *
   * @param report the report, not null
   */
  public void accept(CrashReport report) {
    control.execute(
        () -> {
          report.crashes().forEach(this::recordCrash);
          report.crashes().forEach(this::addPendingCrash);
          report.cleared().forEach(ledger::clear);
          report.cleared().forEach(this::addPendingClearance);
          report.common().forEach(this::applyCommon);
          report.common().forEach(this::addPendingCommon);
        });
  }

  private void onReportWritten(CrashReport report, Throwable error) {
    isWriting = false;
    if (error != null) {
      log.warn("crash report not written", "error", error.getMessage());
      pendingCleared.addAll(report.cleared());
      pendingCommon.addAll(report.common());
      report.crashes().forEach(this::addPendingCrash);
    }
    if (isReportPending()) {
      scheduleWrite(RETRY_DELAY, MIN_WRITE_INTERVAL);
    }
  }

  private CompletableFuture<Boolean> commit(List<Condition> conditions, Write write) {
    return table
        .commit(new Transaction(conditions, List.of(write)))
        .thenApply(result -> result.isCommitted());
  }

  private void scheduleRefusal(CrashFingerprint fingerprint) {
    Duration spread = Duration.ofNanos(random.nextLong(REFUSAL_SPREAD.toNanos()));
    Duration delay = MIN_REFUSAL_DELAY.plus(spread);
    boolean isDelegated = writer.isDelegated();
    schedule(() -> writeRefusal(fingerprint), isDelegated ? delay.plus(DELEGATION) : delay);
  }

  private void writeRefusal(CrashFingerprint fingerprint) {
    boolean isRefused = ledger.getRefusal(fingerprint, clock.nanoTime()).isPresent();
    Optional<Refusal> refusal = ledger.findRefusal(fingerprint);
    if (!isRefused || refusal.isEmpty() || refusalRows.isListed(fingerprint)) {
      return;
    }
    RowKey key = RefusalRows.toKey(fingerprint);
    String value = refusalRows.encode(fingerprint, refusal.get());
    commit(List.of(Condition.ofAbsent(key)), Write.ofPut(key, value))
        .whenCompleteAsync(
            (isCommitted, error) -> {
              if (error != null) {
                log.warn(
                    "refusal not written", "fingerprint", fingerprint, "error", error.getMessage());
                schedule(() -> writeRefusal(fingerprint), RETRY_DELAY);
              } else {
                refusalRows.onWritten(fingerprint);
              }
            },
            control);
  }

  /** Deletes the row of a refusal, or leaves it to the entry that writes for this one. */
  private void deleteRefusal(CrashFingerprint fingerprint) {
    if (!refusalRows.isListed(fingerprint)) {
      return;
    }
    if (writer.isDelegated()) {
      schedule(() -> deleteListedRefusal(fingerprint), DELEGATION);
    } else {
      deleteListedRefusal(fingerprint);
    }
  }

  private void deleteListedRefusal(CrashFingerprint fingerprint) {
    boolean isRefused = ledger.getRefusal(fingerprint, clock.nanoTime()).isPresent();
    if (isRefused || !refusalRows.isListed(fingerprint)) {
      return;
    }
    commit(List.of(), Write.ofDelete(RefusalRows.toKey(fingerprint)))
        .whenCompleteAsync(
            (isCommitted, error) -> {
              if (error != null) {
                log.warn(
                    "refusal not removed", "fingerprint", fingerprint, "error", error.getMessage());
                schedule(() -> deleteRefusal(fingerprint), RETRY_DELAY);
              } else {
                refusalRows.onRemoved(fingerprint);
              }
            },
            control);
  }

  /**
   * Reads again at once instead of waiting for a response that may not come. To be called when
   * another call to the table service failed, on the control thread.
   */
  public void onTableServiceFailed() {
    isFullReadNeeded = true;
    if (isRead) {
      read();
    }
  }

  private void read() {
    long readNumber = ++lastReadNumber;
    long sentNanos = clock.nanoTime();
    boolean isFullRead =
        isFullReadNeeded || sentNanos - fullReadNanos >= FULL_READ_INTERVAL.toNanos();
    (isFullRead ? feed.readAll(TABLE) : feed.awaitChanges(TABLE, version, MAX_WAIT))
        .whenCompleteAsync(
            (changes, error) -> {
              if (readNumber == lastReadNumber) {
                onRead(changes, error, sentNanos);
              }
            },
            control);
  }

  private void onRead(TableChanges changes, Throwable error, long sentNanos) {
    if (error != null) {
      onReadFailed(error);
      return;
    }
    if (isTableLost) {
      log.info("crash reports regained", "version", changes.version());
    }
    isTableLost = false;
    if (changes.isWhole()) {
      isFullReadNeeded = false;
      fullReadNanos = sentNanos;
      applyAll(changes);
    } else if (changes.restoreCount() == restoreCount) {
      applyChanges(changes);
    } else {
      isFullReadNeeded = true;
    }
    boolean isChanged = !changes.updated().isEmpty() || !changes.removed().isEmpty();
    scheduleRead(isChanged && !changes.isWhole() ? READ_DELAY : Duration.ZERO);
  }

  /** Schedules a read unless another one starts before. */
  private void scheduleRead(Duration delay) {
    long readNumber = lastReadNumber;
    schedule(
        () -> {
          if (readNumber == lastReadNumber) {
            read();
          }
        },
        delay);
  }

  private void onReadFailed(Throwable error) {
    if (HistoryLostException.isIn(error)) {
      log.info("change history unavailable, starting full read", "version", version);
    } else {
      if (!isTableLost) {
        log.warn("crash reports lost", "version", version, "error", error.getMessage());
      }
      isTableLost = true;
    }
    // A full read returns at once, so that an outage is not followed by the timeout of a wait.
    isFullReadNeeded = true;
    scheduleRead(RETRY_DELAY);
  }

  private void applyAll(TableChanges changes) {
    boolean isRestored = isRead && changes.restoreCount() != restoreCount;
    if (isRestored || !isRead) {
      // Older reports may be incomplete: what cleared a request may have been overwritten.
      reportVersion = changes.version();
    }
    Set<CrashFingerprint> missingRefusals = new HashSet<>(refusalRows.getListed());
    changes
        .updated()
        .forEach(row -> refusalRows.findFingerprint(row.key()).ifPresent(missingRefusals::remove));
    missingRefusals.forEach(refusalRows::onRemoved);
    missingRefusals.forEach(isRestored ? this::writeRefusal : this::onRefusalRemoved);
    applyRows(changes.updated());
    version = changes.version();
    restoreCount = changes.restoreCount();
    isRead = true;
    refusalRows.getListed().stream()
        .filter(f -> ledger.getRefusal(f, clock.nanoTime()).isEmpty())
        .forEach(this::deleteRefusal);
  }

  private void applyChanges(TableChanges changes) {
    applyRows(changes.updated());
    changes
        .removed()
        .forEach(key -> refusalRows.findFingerprint(key).ifPresent(this::onRefusalRemoved));
    version = changes.version();
  }

  private void onRefusalRemoved(CrashFingerprint fingerprint) {
    refusalRows.onRemoved(fingerprint);
    if (ledger.clear(fingerprint)) {
      log.info("fingerprint cleared by another entry", "fingerprint", fingerprint);
    }
  }

  private void applyRows(List<Row> rows) {
    rows.stream().sorted(Comparator.comparingLong(Row::version)).forEach(this::applyRow);
  }

  private void applyRow(Row row) {
    String key = row.key().key();
    if (key.startsWith(RefusalRows.PREFIX)) {
      refusalRows
          .findFingerprint(row.key())
          .ifPresent(fingerprint -> applyRefusal(fingerprint, row));
    } else if (key.startsWith(REPORT_PREFIX) && row.version() > reportVersion) {
      reportVersion = row.version();
      if (!key.startsWith(reportPrefix)) {
        applyReport(row);
      }
    }
  }

  private void applyRefusal(CrashFingerprint fingerprint, Row row) {
    long now = clock.nanoTime();
    RefusalRow described = RefusalRowCodec.decode(row.value());
    refusalRows.onRead(fingerprint, row.version());
    boolean isKnown = ledger.getRefusal(fingerprint, now).isPresent();
    if (!isKnown && !ledger.isRefusalValid(fingerprint, described.crashes(), now)) {
      log.info(
          "refusal of a common part not followed",
          "fingerprint",
          fingerprint,
          "reported_by",
          described.source());
      addPendingCommon(fingerprint);
      deleteRefusal(fingerprint);
      return;
    }
    if (!isKnown) {
      log.warn(
          "fingerprint refused",
          "fingerprint",
          fingerprint,
          "reported_by",
          described.source(),
          "crashes",
          described.crashes(),
          "trials",
          described.trials());
    }
    ledger.refuse(fingerprint, refusalRows.toRefusal(described, now));
    if (refusalRows.isBehind(fingerprint, described)) {
      scheduleRewrite(fingerprint, row.version());
    }
    shareSuccess(fingerprint);
  }

  /** Writes trials that a row lacks; one of the entries that know of them suffices. */
  private void scheduleRewrite(CrashFingerprint fingerprint, long rowVersion) {
    schedule(
        () -> {
          if (refusalRows.isCurrent(fingerprint, rowVersion)) {
            refusalRows
                .rewrite(fingerprint, rowVersion)
                .exceptionally(
                    error -> {
                      log.warn(
                          "trials not written",
                          "fingerprint",
                          fingerprint,
                          "error",
                          error.getMessage());
                      return null;
                    });
          }
        },
        Duration.ofNanos(random.nextLong(REFUSAL_SPREAD.toNanos())));
  }

  /** Follows another entry that saw that a part is common among what ran. */
  private void applyCommon(CrashFingerprint part) {
    if (ledger.recordCommon(part, clock.nanoTime())) {
      log.info("fingerprint released", "fingerprint", part, "reason", "common among what ran");
      deleteRefusal(part);
    }
  }

  private void applyReport(Row row) {
    try {
      CrashReport report = CrashReportCodec.decode(row.value());
      report.crashes().forEach(this::recordCrash);
      report.cleared().forEach(ledger::clear);
      report.common().forEach(this::applyCommon);
      pendingCleared.removeAll(report.cleared());
      pendingCommon.removeAll(report.common());
    } catch (IllegalArgumentException e) {
      log.warn("malformed crash report", "key", row.key().key(), "error", e.getMessage());
    }
  }
}
