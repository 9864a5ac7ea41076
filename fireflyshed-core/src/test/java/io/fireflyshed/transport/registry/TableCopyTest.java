package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TableCopy}. */
public class TableCopyTest {

  private TableCopy copy;

  /** Creates a copy with two rows of version 5. */
  @BeforeMethod
  public void setUp() {
    copy = new TableCopy();
    copy.apply(new TableChanges(5, 1, true, List.of(newRow("a", 5), newRow("b", 5)), Set.of()));
  }

  private static RowKey newKey(String key) {
    return new RowKey("t", key);
  }

  private static Row newRow(String key, long version) {
    return new Row(newKey(key), version, key + version);
  }

  private static TableChanges newChanges(long version, List<Row> updated, String... removed) {
    Set<RowKey> keys =
        Set.of(removed).stream().map(TableCopyTest::newKey).collect(Collectors.toSet());
    return new TableChanges(version, 1, false, updated, keys);
  }

  private Map<String, String> getRows() {
    return copy.toWhole().updated().stream()
        .collect(Collectors.toMap(r -> r.key().key(), Row::value));
  }

  @Test
  public void changesAreApplied() {
    copy.apply(newChanges(8, List.of(newRow("a", 7), newRow("c", 8)), "b"));
    assertEquals(getRows(), Map.of("a", "a7", "c", "c8"));
    assertEquals(copy.getVersion(), 8);
  }

  @Test
  public void olderResultThatComesLateUndoesNothing() {
    copy.apply(newChanges(9, List.of(newRow("a", 9)), "b"));
    copy.apply(newChanges(7, List.of(newRow("a", 6)), "a"));
    copy.apply(new TableChanges(6, 1, true, List.of(newRow("b", 5)), Set.of()));
    assertEquals(getRows(), Map.of("a", "a9"));
    assertEquals(copy.getVersion(), 9);
  }

  @Test
  public void restoredTableReplacesAllRows() {
    assertFalse(copy.isApplicable(new TableChanges(6, 2, false, List.of(), Set.of())));
    TableChanges restored = new TableChanges(3, 2, true, List.of(newRow("a", 3)), Set.of());
    assertTrue(copy.isApplicable(restored));
    copy.apply(restored);
    assertEquals(getRows(), Map.of("a", "a3"));
    assertEquals(copy.getVersion(), 3);
  }
}
