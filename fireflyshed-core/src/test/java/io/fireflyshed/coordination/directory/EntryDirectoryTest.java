package io.fireflyshed.coordination.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link EntryDirectory}. */
public class EntryDirectoryTest {

  private static final RowKey FIRST = new RowKey("entries", "a/1");
  private static final RowKey SECOND = new RowKey("entries", "a/2");

  private EntryDirectory directory;

  /** Creates a directory whose rows expire after 60 s and are deleted after 600 s. */
  @BeforeMethod
  public void setUp() {
    directory = new EntryDirectory(Duration.ofSeconds(60), Duration.ofSeconds(600));
  }

  private static long seconds(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }

  private static Row newRow(RowKey key, long version) {
    return new Row(key, version, "");
  }

  @Test
  public void entryIsLiveWhileItsRowChanges() {
    directory.apply(List.of(newRow(FIRST, 1), newRow(SECOND, 2)), seconds(0));
    assertEquals(directory.countLive(seconds(59)), 2);
    directory.apply(List.of(newRow(FIRST, 1), newRow(SECOND, 3)), seconds(59));
    assertEquals(directory.countLive(seconds(60)), 1);
    assertFalse(directory.isLive(FIRST, seconds(60)));
    assertTrue(directory.isLive(SECOND, seconds(60)));
  }

  @Test
  public void rowThatIsMissingNoLongerCounts() {
    directory.apply(List.of(newRow(FIRST, 1), newRow(SECOND, 2)), seconds(0));
    directory.apply(List.of(newRow(FIRST, 1)), seconds(1));
    assertEquals(directory.countLive(seconds(1)), 1);
  }

  @Test
  public void rowThatNoLongerChangesIsAbandoned() {
    directory.apply(List.of(newRow(FIRST, 7)), seconds(0));
    directory.apply(List.of(newRow(FIRST, 7)), seconds(599));
    assertEquals(directory.getAbandoned(seconds(599)), Map.of());
    assertEquals(directory.getAbandoned(seconds(600)), Map.of(FIRST, 7L));
  }
}
