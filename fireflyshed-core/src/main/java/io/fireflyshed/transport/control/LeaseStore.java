package io.fireflyshed.transport.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.lease.LeaseAction;
import io.fireflyshed.coordination.lease.LeaseRows;
import io.fireflyshed.coordination.lease.ZoneLease;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the lease of a zone coordinator in two rows of the table service: the epoch row and the
 * renewal row. Thread safe.
 */
public final class LeaseStore {

  /** The table of the leases of all availability zones. */
  public static final String TABLE = "leases";

  private static final String RESTORE_COUNT = "restore_count";

  private final TableService table;
  private final Optional<TableFeed> feed;
  private final RowKey epochKey;
  private final RowKey renewalKey;
  private final String keyPrefix;

  /**
   * Creates a store.
   *
   * @param table the table service, not null
   * @param zone the availability zone, not null
   */
  public LeaseStore(TableService table, AvailabilityZone zone) {
    this(table, Optional.empty(), zone);
  }

  /**
   * Creates a store whose leases are watched through a feed, which may serve several processes.
   *
   * @param table the table service, not null
   * @param feed reads the table of leases, not null
   * @param zone the availability zone, not null
   */
  public LeaseStore(TableService table, TableFeed feed, AvailabilityZone zone) {
    this(table, Optional.of(feed), zone);
  }

  private LeaseStore(TableService table, Optional<TableFeed> feed, AvailabilityZone zone) {
    this.table = table;
    this.feed = feed;
    this.epochKey = getEpochKey(zone);
    this.renewalKey = new RowKey(TABLE, zone + "/renewal");
    this.keyPrefix = zone + "/";
  }

  /**
   * Returns the key of the epoch row, which every transaction of a coordinator requires to be
   * unchanged.
   *
   * @param zone the availability zone, not null
   * @return the key, never null
   */
  static RowKey getEpochKey(AvailabilityZone zone) {
    return new RowKey(TABLE, zone + "/epoch");
  }

  /**
   * Reads both rows in one request.
   *
   * @return a future of the rows
   */
  public CompletableFuture<LeaseRows> read() {
    return table
        .scanWithRestoreCount(TABLE, keyPrefix)
        .thenApply(scanned -> toRows(scanned.rows(), scanned.restoreCount()));
  }

  /**
   * Reads both rows to see whether another process renews the lease. The rows may take longer than
   * those of {@link #read} but are as new.
   *
   * @return a future of the rows
   */
  public CompletableFuture<LeaseRows> watch() {
    return feed.map(
            f ->
                f.readAll(TABLE)
                    .thenApply(changes -> toRows(changes.updated(), changes.restoreCount())))
        .orElseGet(this::read);
  }

  private LeaseRows toRows(List<Row> rows, long restoreCount) {
    return new LeaseRows(findEntry(rows, epochKey), findEntry(rows, renewalKey), restoreCount);
  }

  /**
   * Commits a takeover, a renewal or a release.
   *
   * @param action the request; a takeover, a renewal or a release, not null
   * @return a future of the result
   */
  public CompletableFuture<CommitResult> commit(LeaseAction action) {
    if (action instanceof LeaseAction.TakeOver takeOver) {
      String text = toText(takeOver.epoch(), takeOver.attempt(), takeOver.restoreCount());
      return table.commit(
          new Transaction(
              List.of(
                  new Condition(epochKey, takeOver.epochVersion()),
                  new Condition(renewalKey, takeOver.renewalVersion())),
              List.of(Write.ofPut(epochKey, text), Write.ofPut(renewalKey, text))));
    }
    if (action instanceof LeaseAction.Renew renew) {
      return table.commit(
          new Transaction(
              List.of(new Condition(epochKey, renew.epochVersion())),
              List.of(Write.ofPut(renewalKey, toText(renew.epoch(), renew.attempt(), 0)))));
    }
    LeaseAction.Release release = (LeaseAction.Release) action;
    return table.commit(
        new Transaction(
            List.of(new Condition(epochKey, release.epochVersion())),
            List.of(
                Write.ofPut(
                    epochKey,
                    toText(release.epoch(), ZoneLease.RELEASED, release.restoreCount())))));
  }

  /** Encodes a row; earlier releases neither write the restore count nor read it. */
  private static String toText(long epoch, String attempt, long restoreCount) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("epoch", epoch);
    node.put("attempt", attempt);
    if (restoreCount > 0) {
      node.put(RESTORE_COUNT, restoreCount);
    }
    return JsonUtils.toText(node);
  }

  private static Optional<LeaseRows.Entry> findEntry(List<Row> rows, RowKey key) {
    return rows.stream().filter(r -> r.key().equals(key)).findFirst().map(LeaseStore::toEntry);
  }

  private static LeaseRows.Entry toEntry(Row row) {
    JsonNode node = JsonUtils.parse(row.value());
    return new LeaseRows.Entry(
        row.version(),
        node.path("epoch").asLong(),
        node.path("attempt").asText(),
        node.path(RESTORE_COUNT).asLong());
  }
}
