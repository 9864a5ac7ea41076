package io.fireflyshed.coordination.placement;

import io.fireflyshed.coordination.directory.EntryPosition;
import io.fireflyshed.state.clock.SharedClock;
import java.time.Duration;
import java.util.Objects;
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

  /**
   * The time after which all entries of a zone know of a change of their number: the interval of
   * their reads and the time of a read.
   */
  private static final Duration AGREEMENT_TIME = Duration.ofSeconds(12);

  private final int zone;
  private final int zones;
  private final SharedClock clock;
  private final TurnRates rates;
  private volatile Optional<EntryPosition> position = Optional.empty();
  private boolean isTimeRead;

  /** The time from which on this entry has known its position and the shared time. */
  private long knownNanos;

  /** The longest period that may still be in use at some entries, until {@link #shrinkNanos}. */
  private long longestPeriod;

  private long shrinkNanos;

  /**
   * Creates a schedule of an entry whose rank is not known yet, which owns no slots.
   *
   * @param zone the rank of the entry's availability zone, from 0
   * @param zones the number of availability zones, positive
   * @param clock the time that all entries share, not null
   */
  public EntrySchedule(int zone, int zones, SharedClock clock) {
    this(zone, zones, clock, TurnRates.none());
  }

  /**
   * Creates a schedule of an entry whose rank is not known yet, with targets that are used in turns
   * whether or not they state a limit.
   *
   * @param zone the rank of the entry's availability zone, from 0
   * @param zones the number of availability zones, positive
   * @param clock the time that all entries share, not null
   * @param rates the rates of these targets, not null
   */
  public EntrySchedule(int zone, int zones, SharedClock clock, TurnRates rates) {
    this.rates = Objects.requireNonNull(rates, "rates");
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
  public synchronized void setRank(int entry, int entries) {
    EntryPosition next = new EntryPosition(zone, zones, entry, entries);
    long now = clock.nanoTime();
    if (position.isEmpty()) {
      knownNanos = now;
      shrinkNanos = now;
    }
    long period = Math.max(next.getPeriod(), getLongestPeriod());
    if (period > next.getPeriod() && position.filter(next::equals).isEmpty()) {
      shrinkNanos = now + AGREEMENT_TIME.toNanos();
    }
    longestPeriod = period;
    position = Optional.of(next);
  }

  /**
   * Records a reading of the shared time.
   *
   * @param sharedTime the shared time that was read, not null
   * @param sentNanos the time of the request on the clock of this process
   * @param receivedNanos the time of the response on the clock of this process
   */
  public synchronized void onTimeRead(Duration sharedTime, long sentNanos, long receivedNanos) {
    long before = clock.nanoTime();
    clock.onRead(sharedTime, sentNanos, receivedNanos);
    if (!isTimeRead) {
      isTimeRead = true;
      knownNanos = clock.nanoTime();
      shrinkNanos += knownNanos - before;
    }
  }

  /** Returns the rates of targets that are used in turns whether or not they state a limit. */
  TurnRates getRates() {
    return rates;
  }

  /**
   * Gets the position of this entry for targets whose rate binds in each second.
   *
   * @return the position, empty until the shared time is known and all entries that started with
   *     this one know of each other, never null
   */
  synchronized Optional<EntryPosition> getAgreedPosition() {
    boolean isAgreed = clock.nanoTime() - knownNanos >= AGREEMENT_TIME.toNanos();
    return isTimeRead && isAgreed ? position : Optional.empty();
  }

  /**
   * Gets the longest distance between two slots of an entry that may still be in use somewhere.
   * While the entries disagree on their number, each that keeps this distance keeps its share.
   *
   * @return the number of slots
   */
  synchronized long getLongestPeriod() {
    long current = position.map(EntryPosition::getPeriod).orElse(0L);
    return clock.nanoTime() - shrinkNanos < 0 ? Math.max(longestPeriod, current) : current;
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
