package io.fireflyshed.coordination.directory;

/**
 * The position of an entry among all entries of a deployment, which take the slots of a shared
 * schedule in turn.
 *
 * <p>The availability zones take turns, and so do the entries of each zone, so that an entry needs
 * to know the entries of its own zone only. Two entries never own the same slot if they agree on
 * the entries of their zone.
 *
 * @param zone the rank of the entry's availability zone, from 0
 * @param zones the number of availability zones, positive
 * @param entry the rank of the entry in its zone, from 0
 * @param entries the number of entries in the zone, positive
 */
public record EntryPosition(int zone, int zones, int entry, int entries) {

  /** Validates the components. */
  public EntryPosition {
    if (zone < 0 || zone >= zones || entry < 0 || entry >= entries) {
      throw new IllegalArgumentException(
          "ranks must be below their counts; zone: "
              + zone
              + " of "
              + zones
              + ", entry: "
              + entry
              + " of "
              + entries);
    }
  }

  /**
   * Finds the next slot of this entry.
   *
   * @param slot the number of a slot
   * @return the first slot from that one on that this entry owns
   */
  public long getNextSlot(long slot) {
    long first = (long) zones * entry + zone;
    return slot + Math.floorMod(first - slot, getPeriod());
  }

  /**
   * Gets the distance between two slots of this entry.
   *
   * @return the number of slots
   */
  public long getPeriod() {
    return (long) zones * entries;
  }
}
