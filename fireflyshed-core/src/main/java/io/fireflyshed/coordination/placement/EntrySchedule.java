package io.fireflyshed.coordination.placement;

import io.fireflyshed.coordination.directory.EntryPosition;
import io.fireflyshed.state.clock.SharedClock;
import java.time.Duration;
import java.util.Optional;

/**
 * Tells when it is this entry's turn to send a request to a target that limits the requests of all
 * entries together.
 *
 * <p>The shared time is divided into slots of the length that the target's limit allows for each
 * request, as in time-division multiple access, and the entries own the slots in turn. All entries
 * together thus keep the limit without messages between them. The last known position is used while
 * the entries can't be read; entries that start meanwhile know no targets either. Thread safe.
 */
public final class EntrySchedule {

  private final int zone;
  private final int zones;
  private final SharedClock clock;
  private volatile Optional<EntryPosition> position = Optional.empty();

  /**
   * Creates a schedule of an entry whose rank is not known yet, which owns no slots.
   *
   * @param zone the rank of the entry's availability zone, from 0
   * @param zones the number of availability zones, positive
   * @param clock the time that all entries share, not null
   */
  public EntrySchedule(int zone, int zones, SharedClock clock) {
    this.zone = zone;
    this.zones = zones;
    this.clock = clock;
  }

  /**
   * Sets the rank of this entry in its availability zone.
   *
   * @param entry the rank, from 0
   * @param entries the number of entries in the zone, positive
   */
  public void setRank(int entry, int entries) {
    position = Optional.of(new EntryPosition(zone, zones, entry, entries));
  }

  /**
   * Records a reading of the shared time.
   *
   * @param sharedTime the shared time that was read, not null
   * @param sentNanos the time of the request on the clock of this process
   * @param receivedNanos the time of the response on the clock of this process
   */
  public void onTimeRead(Duration sharedTime, long sentNanos, long receivedNanos) {
    clock.onRead(sharedTime, sentNanos, receivedNanos);
  }

  /**
   * Gets the position of this entry among all entries.
   *
   * @return the position, empty before it is known, never null
   */
  Optional<EntryPosition> getPosition() {
    return position;
  }

  /**
   * Gets the shared time.
   *
   * @return nanoseconds since an origin that is the same for all entries
   */
  long getSharedNanos() {
    return clock.nanoTime();
  }
}
