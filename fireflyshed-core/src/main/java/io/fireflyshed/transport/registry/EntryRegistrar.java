package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.directory.EntryDirectory;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedTimeSource;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import io.fireflyshed.transport.log.EventLog;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Registers this entry in the table service and counts the entries of its availability zone, which
 * divide what the deployment allows all of them together. It also reads the shared time, by which
 * the entries take turns.
 *
 * <p>The first three reads and every sixth one cover the entries of all availability zones, which
 * may forward each other's requests; they take the place of reads of the own zone. The second read
 * follows soon after the first, since entries that start together register within a second.
 *
 * <p>All steps run on the control thread.
 */
public final class EntryRegistrar {

  /** The delay between two reads of the entries. */
  public static final Duration READ_INTERVAL = Duration.ofSeconds(10);

  /** The age of a count after which it is no longer used; one read may fail. */
  public static final Duration MAX_COUNT_AGE = Duration.ofSeconds(25);

  private static final Duration WRITE_INTERVAL = Duration.ofSeconds(30);

  /** The time without a change after which an entry no longer counts; one write may fail. */
  private static final Duration EXPIRY = Duration.ofSeconds(75);

  /** The time without a change after which the row of an entry is deleted. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  /** Spreads the registrations of entries that start at the same time. */
  private static final Duration MAX_START_DELAY = Duration.ofSeconds(1);

  /** The delay between two readings of the shared time; clocks drift by some milliseconds in it. */
  private static final Duration TIME_INTERVAL = Duration.ofSeconds(60);

  /** One of so many reads covers all zones; a row of another zone is at most a minute old. */
  private static final int READS_PER_FULL_READ = 6;

  /** The number of first reads that cover all zones, while other entries may still register. */
  private static final int FIRST_FULL_READS = 3;

  /** The delay of the second read, after which entries that started together have registered. */
  private static final Duration SECOND_READ_DELAY = Duration.ofSeconds(2);

  /** The shortest delay between a full read and one that is requested, which spares the store. */
  private static final Duration MIN_REFRESH_INTERVAL = Duration.ofSeconds(2);

  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  /** The table of the entries. */
  public static final String TABLE = "entries";

  private final TableService table;
  private final SharedTimeSource timeSource;
  private final String keyPrefix;
  private final RowKey key;
  private final RetryAllowance allowance;
  private final EntrySchedule schedule;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final UniformRandomProvider random;
  private final EntryDirectory directory = new EntryDirectory(EXPIRY, RETENTION);
  private final EventLog log = new EventLog("entries");
  private final String value;
  private final EntryRows rows;
  private long writeNanos;

  /** When the last write of the own row was acknowledged. */
  private long writtenNanos;

  private boolean isWritten;
  private boolean isTableLost;
  private long timeNanos;
  private boolean isTimeRead;
  private int count = -1;
  private int readCount;
  private long fullReadNanos;
  private boolean isFullReadSent;

  /**
   * Creates a registrar.
   *
   * @param table the table service, not null
   * @param timeSource reads the shared time, not null
   * @param zone the availability zone of this entry, not null
   * @param entry the name of this entry, which a later process on the same instance keeps, not null
   * @param allowance is told the number of entries, not null
   * @param schedule is told the rank of this entry and the shared time, not null
   * @param control the executor of the control thread, not null
   * @param clock the clock of this process, which includes suspended time, not null
   * @param random spreads the start of many entries, not null
   */
  public EntryRegistrar(
      TableService table,
      SharedTimeSource timeSource,
      AvailabilityZone zone,
      String entry,
      RetryAllowance allowance,
      EntrySchedule schedule,
      ScheduledExecutorService control,
      MonotonicClock clock,
      UniformRandomProvider random) {
    this(
        table,
        timeSource,
        zone,
        entry,
        Optional.empty(),
        0,
        allowance,
        schedule,
        control,
        clock,
        random);
  }

  /**
   * Creates a registrar of an entry to which others connect.
   *
   * @param table the table service, not null
   * @param timeSource reads the shared time, not null
   * @param zone the availability zone of this entry, not null
   * @param entry the name of this entry, which a later process on the same instance keeps, not null
   * @param peerAddress the address at which this entry listens for others, empty if it doesn't, not
   *     null
   * @param cores the processor cores of this entry, 0 if unknown
   * @param allowance is told the number of entries, not null
   * @param schedule is told the rank of this entry and the shared time, not null
   * @param control the executor of the control thread, not null
   * @param clock the clock of this process, which includes suspended time, not null
   * @param random spreads the start of many entries, not null
   */
  public EntryRegistrar(
      TableService table,
      SharedTimeSource timeSource,
      AvailabilityZone zone,
      String entry,
      Optional<InetSocketAddress> peerAddress,
      double cores,
      RetryAllowance allowance,
      EntrySchedule schedule,
      ScheduledExecutorService control,
      MonotonicClock clock,
      UniformRandomProvider random) {
    this.table = table;
    this.timeSource = timeSource;
    this.keyPrefix = zone + "/";
    this.key = new RowKey(TABLE, keyPrefix + entry);
    this.value = EntryRows.encode(key, peerAddress, cores);
    this.rows = new EntryRows(key, EXPIRY, log);
    this.allowance = allowance;
    this.schedule = schedule;
    this.control = control;
    this.clock = clock;
    this.random = random;
  }

  /** Starts to register and to count. */
  public void start() {
    schedule(Duration.ofNanos(random.nextLong(MAX_START_DELAY.toNanos())));
  }

  /**
   * Lists the other entries of all availability zones that published an address. Thread safe.
   *
   * @return the entries as of the last read, unmodifiable, never null
   */
  public List<EntryPeer> getPeers() {
    return rows.getPeers();
  }

  /**
   * Reads the entries of all availability zones at once, as when no listed entry can be used. Does
   * nothing within 2 s after another read of all zones. Returns immediately. Thread safe.
   */
  public void refreshPeers() {
    try {
      control.execute(this::readPeers);
    } catch (RejectedExecutionException e) {
      // The process stops, and needs no other entries.
      log.info("entries not read again", "reason", "the control thread has stopped");
    }
  }

  private void readPeers() {
    if (isFullReadSent && clock.nanoTime() - fullReadNanos < MIN_REFRESH_INTERVAL.toNanos()) {
      return;
    }
    // The count of entries is left to the regular reads, on whose times the allowance relies.
    scan("")
        .thenAcceptAsync(read -> rows.apply("", read, clock.nanoTime()), control)
        .whenComplete(
            (result, error) ->
                log.info(
                    "entries read again",
                    "peers",
                    getPeers().size(),
                    "error",
                    String.valueOf(error)));
  }

  private void schedule(Duration delay) {
    control.schedule(this::refresh, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void refresh() {
    long now = clock.nanoTime();
    boolean isWriteDue = !isWritten || now - writeNanos >= WRITE_INTERVAL.toNanos();
    CompletableFuture<?> written =
        isWriteDue ? write(now) : CompletableFuture.completedFuture(null);
    written
        .thenComposeAsync(w -> readEntries(), control)
        .thenComposeAsync(r -> readTime(), control)
        .whenCompleteAsync((r, e) -> onRefreshed(e), control);
  }

  private CompletableFuture<Void> write(long now) {
    Transaction transaction = new Transaction(List.of(), List.of(Write.ofPut(key, value)));
    return table
        .commit(transaction)
        .thenAcceptAsync(
            result -> {
              isWritten = true;
              writeNanos = now;
              writtenNanos = clock.nanoTime();
              allowance.onRegistered(clock.nanoTime());
            },
            control);
  }

  private CompletableFuture<Void> readEntries() {
    long sentNanos = clock.nanoTime();
    boolean isFull = readCount < FIRST_FULL_READS || readCount % READS_PER_FULL_READ == 0;
    String prefix = isFull ? "" : keyPrefix;
    return scan(prefix).thenAcceptAsync(read -> onRead(prefix, read, sentNanos), control);
  }

  private CompletableFuture<List<Row>> scan(String prefix) {
    if (prefix.isEmpty()) {
      isFullReadSent = true;
      fullReadNanos = clock.nanoTime();
    }
    return table.scan(TABLE, prefix);
  }

  private CompletableFuture<Void> readTime() {
    long sentNanos = clock.nanoTime();
    if (isTimeRead && sentNanos - timeNanos < TIME_INTERVAL.toNanos()) {
      return CompletableFuture.completedFuture(null);
    }
    return timeSource
        .readTime()
        .thenAccept(time -> schedule.onTimeRead(time, sentNanos, clock.nanoTime()))
        .thenRunAsync(
            () -> {
              isTimeRead = true;
              timeNanos = sentNanos;
            },
            control);
  }

  private void onRead(String prefix, List<Row> read, long sentNanos) {
    long now = clock.nanoTime();
    readCount++;
    if (isWritten && sentNanos - writtenNanos >= 0 && read.stream().noneMatch(this::isOwn)) {
      log.warn("own row is missing, writing it again", "entry", key.key());
      isWritten = false;
    }
    rows.apply(prefix, read, now);
    directory.apply(
        read.stream().filter(row -> row.key().key().startsWith(keyPrefix)).toList(), now);
    int live = directory.isLive(key, now) ? directory.countLive(now) : 0;
    allowance.onCounted(live, sentNanos);
    if (live > 0) {
      schedule.setRank(directory.getRank(key, now), live);
    }
    if (live != count) {
      log.info("entries counted", "count", live, "before", count);
      count = live;
    }
    deleteAbandoned(now);
  }

  private boolean isOwn(Row row) {
    return row.key().equals(key);
  }

  private void deleteAbandoned(long now) {
    for (Map.Entry<RowKey, Long> row : directory.getAbandoned(now).entrySet()) {
      Transaction transaction =
          new Transaction(
              List.of(new Condition(row.getKey(), row.getValue())),
              List.of(Write.ofDelete(row.getKey())));
      table
          .commit(transaction)
          .whenComplete(
              (result, error) ->
                  log.info(
                      "deletion of abandoned entry finished",
                      "entry",
                      row.getKey().key(),
                      "error",
                      String.valueOf(error)));
    }
  }

  /**
   * Returns the delay of the next read, before which a missing row is written; the third keeps its
   * distance from the first.
   */
  private Duration getReadDelay() {
    if (!isWritten) {
      return RETRY_DELAY;
    }
    return switch (readCount) {
      case 1 -> SECOND_READ_DELAY;
      case 2 -> READ_INTERVAL.minus(SECOND_READ_DELAY);
      default -> READ_INTERVAL;
    };
  }

  private void onRefreshed(Throwable error) {
    if (error == null) {
      isTableLost = false;
      schedule(getReadDelay());
      return;
    }
    if (!isTableLost) {
      log.warn("entries not read", "count", count, "error", error.getMessage());
    }
    isTableLost = true;
    schedule(RETRY_DELAY);
  }
}
