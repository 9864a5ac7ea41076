package io.fireflyshed.coordination.directory;

import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks the entries that are registered in rows of the table service, which live entries rewrite
 * periodically.
 *
 * <p>An entry counts as live until its row has not changed for a while on this process's clock, so
 * that clocks of different processes are not compared. Not thread safe; used on the control thread
 * only.
 */
public final class EntryDirectory {

  /** Holds the version of a row and when it was first seen. */
  private record Sighting(long version, long firstSeenNanos) {}

  private final Duration expiry;
  private final Duration retention;
  private final Map<RowKey, Sighting> sightings = new HashMap<>();

  /**
   * Creates an empty directory.
   *
   * @param expiry the time without a change of its row after which an entry is no longer live, not
   *     null
   * @param retention the time without a change after which a row should be deleted, not null
   */
  public EntryDirectory(Duration expiry, Duration retention) {
    this.expiry = Objects.requireNonNull(expiry, "expiry");
    this.retention = Objects.requireNonNull(retention, "retention");
  }

  /**
   * Replaces the known rows by those of a read.
   *
   * @param rows all rows, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public void apply(List<Row> rows, long nowNanos) {
    Set<RowKey> keys = rows.stream().map(Row::key).collect(Collectors.toSet());
    sightings.keySet().retainAll(keys);
    for (Row row : rows) {
      Sighting known = sightings.get(row.key());
      if (known == null || known.version() != row.version()) {
        sightings.put(row.key(), new Sighting(row.version(), nowNanos));
      }
    }
  }

  /**
   * Counts the live entries.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the number of live entries
   */
  public int countLive(long nowNanos) {
    return (int) sightings.keySet().stream().filter(k -> isLive(k, nowNanos)).count();
  }

  /**
   * Gets the rank of an entry among the live entries, in the order of their keys.
   *
   * @param key the row of the entry, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the number of live entries before it
   */
  public int getRank(RowKey key, long nowNanos) {
    return (int)
        sightings.keySet().stream()
            .filter(k -> k.key().compareTo(key.key()) < 0 && isLive(k, nowNanos))
            .count();
  }

  /**
   * Tests whether an entry is live.
   *
   * @param key the row of the entry, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return false if it is not registered or its row has not changed for a while
   */
  public boolean isLive(RowKey key, long nowNanos) {
    Sighting sighting = sightings.get(key);
    return sighting != null && nowNanos - sighting.firstSeenNanos() < expiry.toNanos();
  }

  /**
   * Lists the rows that should be deleted, as of machines that were removed.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the versions of the rows by key, never null
   */
  public Map<RowKey, Long> getAbandoned(long nowNanos) {
    return sightings.entrySet().stream()
        .filter(e -> nowNanos - e.getValue().firstSeenNanos() >= retention.toNanos())
        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().version()));
  }
}
