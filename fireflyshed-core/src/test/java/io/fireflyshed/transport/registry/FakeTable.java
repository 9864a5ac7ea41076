package io.fireflyshed.transport.registry;

import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Holds one table with its whole history, as the table service does. Not thread safe. */
final class FakeTable {

  static final String NAME = "t";

  /** Holds one version of a row; the value is null if the row was removed. */
  record Change(long version, RowKey key, String value) {}

  private final List<Change> history = new ArrayList<>();
  private final Map<RowKey, Row> rows = new TreeMap<>(Comparator.comparing(RowKey::key));
  private long version;
  private long firstVersion;
  private long restoreCount;
  private int reads;

  static RowKey newKey(String key) {
    return new RowKey(NAME, key);
  }

  void put(String key, String value) {
    version++;
    RowKey rowKey = newKey(key);
    history.add(new Change(version, rowKey, value));
    if (value == null) {
      rows.remove(rowKey);
    } else {
      rows.put(rowKey, new Row(rowKey, version, value));
    }
  }

  /** Drops the history, so that later feeds from before now fail. */
  void compact() {
    firstVersion = version;
  }

  /** Goes back to an older state, whose versions are used again. */
  void restore(long oldVersion) {
    history.removeIf(c -> c.version() > oldVersion);
    rows.clear();
    for (Change change : history) {
      if (change.value() == null) {
        rows.remove(change.key());
      } else {
        rows.put(change.key(), new Row(change.key(), change.version(), change.value()));
      }
    }
    version = oldVersion;
    firstVersion = oldVersion;
    restoreCount++;
  }

  long getVersion() {
    return version;
  }

  int getReads() {
    return reads;
  }

  Map<RowKey, Row> getRows() {
    return Map.copyOf(rows);
  }

  TableChanges readAll() {
    reads++;
    return new TableChanges(version, restoreCount, true, List.copyOf(rows.values()), Set.of());
  }

  TableChanges readChanges(long after) {
    reads++;
    if (after < firstVersion) {
      throw new HistoryLostException("read", "table");
    }
    Map<RowKey, Change> latest = new TreeMap<>(Comparator.comparing(RowKey::key));
    history.stream().filter(c -> c.version() > after).forEach(c -> latest.put(c.key(), c));
    List<Row> updated = new ArrayList<>();
    Set<RowKey> removed = new HashSet<>();
    long last = after;
    for (Change change : latest.values()) {
      last = Math.max(last, change.version());
      if (change.value() == null) {
        removed.add(change.key());
      } else {
        updated.add(new Row(change.key(), change.version(), change.value()));
      }
    }
    return new TableChanges(last, restoreCount, false, updated, removed);
  }
}
