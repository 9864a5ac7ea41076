package io.fireflyshed.coordination.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link EntryPosition}. */
public class EntryPositionTest {

  @Test
  public void entriesOfZonesOfDifferentSizesNeverOwnTheSameSlot() {
    int[] entriesByZone = {3, 1, 4};
    Set<Long> owned = new HashSet<>();
    for (int zone = 0; zone < entriesByZone.length; zone++) {
      for (int entry = 0; entry < entriesByZone[zone]; entry++) {
        EntryPosition position =
            new EntryPosition(zone, entriesByZone.length, entry, entriesByZone[zone]);
        for (long s = position.getNextSlot(-50); s < 50; s = position.getNextSlot(s + 1)) {
          assertTrue(owned.add(s), "slot " + s + " has two owners");
        }
      }
    }
    assertEquals(owned.size(), 100);
  }

  @Test
  public void slotOfTheEntryIsItsOwnNextSlot() {
    EntryPosition position = new EntryPosition(1, 3, 2, 4);
    assertEquals(position.getNextSlot(7), 7);
    assertEquals(position.getNextSlot(8), 19);
  }

  @Test
  public void rankBeyondTheCountIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new EntryPosition(0, 1, 3, 3));
    assertThrows(IllegalArgumentException.class, () -> new EntryPosition(2, 2, 0, 1));
  }
}
