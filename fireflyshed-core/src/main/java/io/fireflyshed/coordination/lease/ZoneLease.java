package io.fireflyshed.coordination.lease;

import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when to take, renew and give up the lease of a zone coordinator.
 *
 * <p>The holder counts from before it sent a renewal; all others wait from after they saw a change
 * of the rows, longer by the largest drift of clocks. The answer to a commit proves nothing here:
 * after each takeover, and after a renewal whose answer was lost, both rows are read back and
 * compared with the id of the own attempt. At most one request is in flight. Not thread safe;
 * belongs to the control thread.
 *
 * <p>After Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
 * Cache Consistency" (1989).
 */
public final class ZoneLease {

  /** The attempt id of an epoch row whose holder gave the lease up. */
  public static final String RELEASED = "released";

  private final PeerId self;
  private final LeaseTiming timing;
  private final UniformRandomProvider random;

  private LeaseRows seen;
  private long seenNanos;
  private long nextRequestNanos;
  private boolean isDue = true;
  private boolean isInFlight;
  private boolean isReading;
  private boolean isReleased;
  private LeaseAction sent;
  private String pendingAttempt = "";
  private long pendingNanos;
  private LeaseGrant grant;

  /**
   * Creates a lease that this process does not hold.
   *
   * @param self the identity of this process, not null
   * @param timing the durations, not null
   * @param random makes the ids of attempts, not null
   */
  public ZoneLease(PeerId self, LeaseTiming timing, UniformRandomProvider random) {
    this.self = Objects.requireNonNull(self, "self");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Gets the right to act.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the grant, or empty if this process does not hold the lease or it has run out
   */
  public Optional<LeaseGrant> getGrant(long nowNanos) {
    return Optional.ofNullable(grant).filter(g -> g.isValid(nowNanos));
  }

  /**
   * Gets the next request to the table service. The caller sends it at once and reports its end
   * with one of the other methods.
   *
   * @param nowNanos the reading of the monotonic clock before the request is sent
   * @return the request, or empty to wait
   */
  public Optional<LeaseAction> next(long nowNanos) {
    if (isInFlight || isReleased || !(isDue || nextRequestNanos - nowNanos <= 0)) {
      return Optional.empty();
    }
    isDue = false;
    isInFlight = true;
    sent = choose(nowNanos);
    isReading = sent instanceof LeaseAction.Read;
    return Optional.of(sent);
  }

  private LeaseAction choose(long nowNanos) {
    if (seen == null || !pendingAttempt.isEmpty()) {
      return new LeaseAction.Read();
    }
    if (getGrant(nowNanos).isPresent()) {
      startAttempt(nowNanos);
      return new LeaseAction.Renew(grant.epoch(), pendingAttempt, grant.epochVersion());
    }
    grant = null;
    if (isLapsed(nowNanos)) {
      startAttempt(nowNanos);
      long epoch = seen.epoch().map(LeaseRows.Entry::epoch).orElse(0L) + 1;
      return new LeaseAction.TakeOver(
          epoch, pendingAttempt, seen.getEpochVersion(), seen.getRenewalVersion());
    }
    return new LeaseAction.Read();
  }

  private boolean isLapsed(long nowNanos) {
    if (seen.epoch().map(e -> e.attempt().equals(RELEASED)).orElse(true)) {
      return true;
    }
    return nowNanos - seenNanos >= timing.getWatchNanos();
  }

  private void startAttempt(long nowNanos) {
    pendingAttempt = self + "." + Long.toHexString(random.nextLong());
    pendingNanos = nowNanos;
  }

  /**
   * Takes in the rows that a read returned.
   *
   * @param rows the rows, not null
   * @param nowNanos the reading of the monotonic clock after the answer came
   */
  public void onRead(LeaseRows rows, long nowNanos) {
    Objects.requireNonNull(rows, "rows");
    isInFlight = false;
    if (!rows.equals(seen)) {
      seen = rows;
      seenNanos = nowNanos;
    }
    settle(rows);
    schedule(nowNanos);
  }

  private void settle(LeaseRows rows) {
    Optional<LeaseRows.Entry> epoch = rows.epoch();
    boolean isPendingWritten =
        !pendingAttempt.isEmpty()
            && rows.renewal().map(r -> r.attempt().equals(pendingAttempt)).orElse(false);
    boolean isOwnEpoch =
        epoch.isPresent()
            && (isPendingWritten && epoch.get().attempt().equals(pendingAttempt)
                || grant != null && epoch.get().version() == grant.epochVersion());
    if (!isOwnEpoch) {
      grant = null;
    } else if (isPendingWritten) {
      long expiry = pendingNanos + timing.length().toNanos();
      grant = new LeaseGrant(epoch.get().epoch(), epoch.get().version(), expiry);
    }
    pendingAttempt = "";
  }

  /**
   * Takes in that a takeover or a renewal was committed.
   *
   * @param nowNanos the reading of the monotonic clock
   */
  public void onCommitted(long nowNanos) {
    isInFlight = false;
    if (sent instanceof LeaseAction.Renew && grant != null) {
      long expiry = pendingNanos + timing.length().toNanos();
      grant = new LeaseGrant(grant.epoch(), grant.epochVersion(), expiry);
      pendingAttempt = "";
      schedule(nowNanos);
    } else {
      isDue = true;
    }
  }

  /**
   * Takes in that a takeover or a renewal met a row that had changed.
   *
   * @param nowNanos the reading of the monotonic clock
   */
  public void onConflict(long nowNanos) {
    isInFlight = false;
    pendingAttempt = "";
    grant = null;
    seen = null;
    nextRequestNanos = nowNanos;
  }

  /**
   * Takes in that a request failed. An attempt of unknown effect is settled by the next read.
   *
   * @param nowNanos the reading of the monotonic clock
   */
  public void onFailure(long nowNanos) {
    isInFlight = false;
    long pause = timing.renewInterval().toNanos() / (isReading ? 1 : 4);
    nextRequestNanos = nowNanos + pause;
  }

  /**
   * Gives the lease up for good, as at shutdown.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the request that hands the lease over, or empty if this process does not hold it
   */
  public Optional<LeaseAction> release(long nowNanos) {
    Optional<LeaseAction> action =
        getGrant(nowNanos).map(g -> new LeaseAction.Release(g.epoch(), g.epochVersion()));
    isReleased = true;
    grant = null;
    return action;
  }

  private void schedule(long nowNanos) {
    if (grant != null) {
      nextRequestNanos = pendingNanos + timing.renewInterval().toNanos();
      return;
    }
    long untilLapse = seenNanos + timing.getWatchNanos() - nowNanos;
    long pause = Math.min(timing.watchInterval().toNanos(), Math.max(0, untilLapse));
    isDue = isLapsed(nowNanos);
    nextRequestNanos = nowNanos + pause;
  }
}
