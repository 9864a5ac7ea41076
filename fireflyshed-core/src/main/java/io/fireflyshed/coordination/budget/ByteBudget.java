package io.fireflyshed.coordination.budget;

import io.fireflyshed.coordination.retry.RetryAfterSchedule;
import io.fireflyshed.state.clock.MonotonicClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the bytes that a process holds and denies what doesn't fit.
 *
 * <p>Each holder reserves before it reads, grows its reservation while it reads on, and closes it
 * when the bytes are gone. The sum of all reservations never exceeds the capacity.
 *
 * <p>Small reservations are granted as long as they fit; larger ones leave some room for them, and
 * all but urgent ones leave more. An owner that holds something already is granted a larger one
 * only up to a multiple of what is still free for it, so that nobody can take all the room: A.
 * Choudhury and E. Hahne, "Dynamic queue length thresholds for shared-memory packet switches",
 * 1998.
 *
 * <p>When a reservation is denied, the largest one that can be given up and has lasted for a while
 * is told to end. Thread safe; listeners are called without a lock.
 *
 * <pre>{@code
 * ByteBudget budget = new ByteBudget(1 << 20, clock, ByteBudget.Listener.none());
 * ByteClaim claim = new ByteClaim(ByteUse.REQUEST, Set.of(), false);
 * Optional<ByteBudget.Reservation> reservation = budget.tryReserve(claim, 4096);
 * reservation.ifPresent(ByteBudget.Reservation::close);
 * }</pre>
 */
public final class ByteBudget {

  /** The bytes up to which a reservation is small. */
  public static final int SMALL_BYTES = 16 << 10;

  /** The fraction of the capacity that all but urgent and small reservations may use. */
  private static final double ORDINARY_FRACTION = 0.75;

  /** The fraction of the capacity that all but small reservations may use. */
  private static final double URGENT_FRACTION = 0.95;

  /**
   * The multiple of the bytes that are free for a reservation which each of its owners may hold.
   */
  private static final int OWNER_FACTOR = 2;

  /** More than any process holds, and small enough for the arithmetic of shares. */
  private static final long UNLIMITED_BYTES = Long.MAX_VALUE / 8;

  /** The age from which a reservation may be told to end. */
  private static final Duration MIN_EVICTION_AGE = Duration.ofSeconds(1);

  /** The fraction of the capacity below which a budget that denied something has room again. */
  private static final double ROOM_FRACTION = 0.5;

  /** Is told when the budget begins to deny reservations and when it has room again. */
  public interface Listener {

    /**
     * Handles that the budget denied a reservation for the first time since it had room.
     *
     * @param usedBytes the reserved bytes by their use, not null
     */
    void onFull(Map<ByteUse, Long> usedBytes);

    /**
     * Handles that the budget has room again.
     *
     * @param deniedCount the number of reservations that it denied meanwhile
     */
    void onRoom(long deniedCount);

    /**
     * Creates a listener that does nothing.
     *
     * @return the listener, never null
     */
    static Listener none() {
      return new Listener() {
        @Override
        public void onFull(Map<ByteUse, Long> usedBytes) {}

        @Override
        public void onRoom(long deniedCount) {}
      };
    }
  }

  /** Bytes that are held. Thread safe. */
  public final class Reservation implements AutoCloseable {
    private final ByteClaim claim;
    private final long startNanos;
    private long bytes;
    private Runnable onEvicted;
    private boolean isClosed;

    private Reservation(ByteClaim claim, long startNanos) {
      this.claim = claim;
      this.startNanos = startNanos;
    }

    /**
     * Reserves more bytes.
     *
     * @param moreBytes the additional bytes, not negative
     * @return whether they are reserved; if not, the reservation is unchanged
     */
    public boolean tryGrow(long moreBytes) {
      return ByteBudget.this.tryGrow(this, moreBytes);
    }

    /**
     * Gives back some of the reserved bytes.
     *
     * @param fewerBytes the bytes, no more than are reserved
     */
    public void shrink(long fewerBytes) {
      ByteBudget.this.shrink(this, fewerBytes);
    }

    /**
     * Lets the budget end this reservation when it has no room for others, until it is closed.
     *
     * @param listener has the reservation closed; called at most once, on any thread, not null
     */
    public void setEvictable(Runnable listener) {
      ByteBudget.this.setEvictable(this, listener);
    }

    /** Keeps the budget from ending this reservation from now on. */
    public void setNotEvictable() {
      ByteBudget.this.setEvictable(this, null);
    }

    /**
     * Gets the reserved bytes.
     *
     * @return the bytes, 0 once the reservation is closed
     */
    public long getBytes() {
      synchronized (ByteBudget.this) {
        return bytes;
      }
    }

    /** Ends the reservation. Has no effect if called again. */
    @Override
    public void close() {
      ByteBudget.this.close(this);
    }
  }

  private final long capacity;
  private final MonotonicClock clock;
  private final Listener listener;
  private final Map<ByteUse, Long> usedByUse = new EnumMap<>(ByteUse.class);
  private final Map<ByteOwner, Long> usedByOwner = new HashMap<>();
  private final Set<Reservation> evictable = new HashSet<>();
  private final RetryAfterSchedule retries = new RetryAfterSchedule();
  private long used;
  private long denied;
  private long deniedBeforeFull;
  private long evicted;
  private boolean isFull;

  /**
   * Creates a budget without reservations.
   *
   * @param capacity the bytes that may be reserved, positive
   * @param clock the monotonic clock of this process, not null
   * @param listener is told when the budget is full, not null
   */
  public ByteBudget(long capacity, MonotonicClock clock, Listener listener) {
    if (capacity <= 0) {
      throw new IllegalArgumentException("capacity must be positive: " + capacity);
    }
    this.capacity = capacity;
    this.clock = Objects.requireNonNull(clock, "clock");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /**
   * Creates a budget that grants everything.
   *
   * @param clock the monotonic clock of this process, not null
   * @return the budget, never null
   */
  public static ByteBudget unlimited(MonotonicClock clock) {
    return new ByteBudget(UNLIMITED_BYTES, clock, Listener.none());
  }

  /**
   * Reserves bytes.
   *
   * @param claim for what and for whom they are, not null
   * @param bytes the bytes, not negative
   * @return the reservation, which the caller must close, or empty if it was denied, never null
   */
  public Optional<Reservation> tryReserve(ByteClaim claim, long bytes) {
    Reservation reservation = new Reservation(claim, clock.nanoTime());
    return tryGrow(reservation, bytes) ? Optional.of(reservation) : Optional.empty();
  }

  private boolean tryGrow(Reservation reservation, long moreBytes) {
    if (moreBytes < 0) {
      throw new IllegalArgumentException("bytes must not be negative: " + moreBytes);
    }
    Runnable onEvicted;
    boolean isFullNow;
    Map<ByteUse, Long> usedNow;
    synchronized (this) {
      if (reservation.isClosed) {
        return false;
      }
      if (isGranted(reservation, moreBytes)) {
        add(reservation, moreBytes);
        return true;
      }
      denied++;
      isFullNow = !isFull;
      deniedBeforeFull = isFullNow ? denied - 1 : deniedBeforeFull;
      isFull = true;
      usedNow = new EnumMap<>(usedByUse);
      onEvicted = evict(reservation.bytes + moreBytes);
    }
    if (isFullNow) {
      listener.onFull(usedNow);
    }
    if (onEvicted != null) {
      onEvicted.run();
    }
    return false;
  }

  private boolean isGranted(Reservation reservation, long moreBytes) {
    ByteClaim claim = reservation.claim;
    if (reservation.bytes + moreBytes <= SMALL_BYTES || claim.use().isUnlimited()) {
      return used + moreBytes <= capacity;
    }
    double fraction = claim.isUrgent() ? URGENT_FRACTION : ORDINARY_FRACTION;
    long free = (long) (capacity * fraction) - used - moreBytes;
    return free >= 0
        && claim.owners().stream()
            .map(owner -> usedByOwner.getOrDefault(owner, 0L))
            .allMatch(held -> held == 0 || held + moreBytes <= free * OWNER_FACTOR);
  }

  private void add(Reservation reservation, long moreBytes) {
    if (moreBytes == 0) {
      return;
    }
    used += moreBytes;
    reservation.bytes += moreBytes;
    usedByUse.merge(reservation.claim.use(), moreBytes, Long::sum);
    for (ByteOwner owner : reservation.claim.owners()) {
      usedByOwner.merge(owner, moreBytes, (a, b) -> a + b == 0 ? null : a + b);
    }
  }

  /** Selects a reservation to give up for one of some bytes, and returns its listener, or null. */
  private Runnable evict(long bytes) {
    long latestStart = clock.nanoTime() - MIN_EVICTION_AGE.toNanos();
    Optional<Reservation> largest =
        evictable.stream()
            .filter(r -> r.bytes >= bytes && r.startNanos - latestStart <= 0)
            .max(Comparator.comparingLong(r -> r.bytes));
    if (largest.isEmpty()) {
      return null;
    }
    evicted++;
    evictable.remove(largest.get());
    return largest.get().onEvicted;
  }

  private synchronized void setEvictable(Reservation reservation, Runnable onEvicted) {
    reservation.onEvicted = onEvicted;
    if (onEvicted != null && !reservation.isClosed) {
      evictable.add(reservation);
    } else {
      evictable.remove(reservation);
    }
  }

  private void close(Reservation reservation) {
    synchronized (this) {
      if (reservation.isClosed) {
        return;
      }
      reservation.isClosed = true;
      evictable.remove(reservation);
      if (reservation.bytes > SMALL_BYTES) {
        retries.onEnd(clock.nanoTime());
      }
    }
    shrink(reservation, reservation.bytes);
  }

  private void shrink(Reservation reservation, long fewerBytes) {
    boolean hasRoomNow;
    long deniedMeanwhile;
    synchronized (this) {
      if (fewerBytes < 0 || fewerBytes > reservation.bytes) {
        throw new IllegalArgumentException(
            fewerBytes + " of " + reservation.bytes + " reserved bytes can't be given back");
      }
      add(reservation, -fewerBytes);
      hasRoomNow = isFull && used <= capacity * ROOM_FRACTION;
      isFull &= !hasRoomNow;
      deniedMeanwhile = denied - deniedBeforeFull;
    }
    if (hasRoomNow) {
      listener.onRoom(deniedMeanwhile);
    }
  }

  /**
   * Returns the time after which a caller whose request was denied should come back. The callers of
   * one moment get different times.
   *
   * @return the time, never null
   */
  public synchronized Duration getRetryAfter() {
    return retries.next(clock.nanoTime());
  }

  /**
   * Gets the size of the budget.
   *
   * @return the bytes that may be reserved
   */
  public long getCapacity() {
    return capacity;
  }

  /**
   * Gets the reserved bytes.
   *
   * @return the sum of all reservations
   */
  public synchronized long getUsed() {
    return used;
  }

  /**
   * Gets the reserved bytes of a use.
   *
   * @param use the use, not null
   * @return the sum of the reservations for it
   */
  public synchronized long getUsed(ByteUse use) {
    return usedByUse.getOrDefault(use, 0L);
  }

  /**
   * Counts the owners that hold something.
   *
   * @return the number of owners
   */
  synchronized int countOwners() {
    return usedByOwner.size();
  }

  /**
   * Counts the denied reservations.
   *
   * @return the number since the start
   */
  public synchronized long getDenied() {
    return denied;
  }

  /**
   * Counts the reservations that were told to end.
   *
   * @return the number since the start
   */
  public synchronized long getEvicted() {
    return evicted;
  }
}
