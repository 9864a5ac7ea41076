package io.fireflyshed.coordination.lease;

import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when to acquire, renew and release the lease of a zone coordinator.
 *
 * <p>The holder counts the lease from before it sent a renewal. Every other process counts from
 * after it saw a change of the rows and adds the maximum clock drift. The response to a takeover is
 * not taken as proof: after each takeover, and after a renewal whose response was lost, both rows
 * are read back and compared with the id of this process's own attempt. At most one request is in
 * flight. Not thread safe; confined to the control thread.
 *
 * <p>The table service may be restored from an older copy. Its versions are then given out again,
 * so a renewal under another restore count is read back like a lost response; and a row that was
 * written before says nothing about later holders, so a lease that it shows as released is taken
 * over only after the usual delay.
 *
 * <p>After Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
 * Cache Consistency" (1989).
 */
public final class ZoneLease {

  /** The attempt id in an epoch row whose holder released the lease. */
  public static final String RELEASED = "released";

  private final PeerId self;
  private final LeaseTiming timing;
  private final UniformRandomProvider random;

  private final EpochCounter epochs = new EpochCounter();

  private LeaseRows lastRows;
  private long rowsChangedNanos;
  private long nextRequestNanos;
  private boolean isRequestDue = true;
  private boolean isRequestInFlight;
  private boolean isReading;
  private boolean isReleased;
  private LeaseAction lastRequest;
  private String pendingAttempt = "";
  private long pendingNanos;
  private LeaseGrant grant;

  /** The id of the attempt that took over the lease under the grant. */
  private String grantAttempt = "";

  /** The restore count of the table service under which the grant was last confirmed. */
  private long grantRestoreCount;

  /**
   * Creates a lease that this process does not hold.
   *
   * @param self the id of this process, not null
   * @param timing the durations, not null
   * @param random the source of randomness for the ids of attempts, not null
   */
  public ZoneLease(PeerId self, LeaseTiming timing, UniformRandomProvider random) {
    this.self = Objects.requireNonNull(self, "self");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Returns the grant under which this process acts as the coordinator.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the grant, or empty if this process does not hold the lease or the lease has expired
   */
  public Optional<LeaseGrant> getGrant(long nowNanos) {
    return Optional.ofNullable(grant).filter(held -> held.isValid(nowNanos));
  }

  /**
   * Returns the next request to the table service. The caller sends it at once and reports its
   * outcome through one of the other methods.
   *
   * @param nowNanos the reading of the monotonic clock before the request is sent
   * @return the request, or empty if none is due
   */
  public Optional<LeaseAction> next(long nowNanos) {
    if (isRequestInFlight || isReleased || !(isRequestDue || nextRequestNanos - nowNanos <= 0)) {
      return Optional.empty();
    }
    isRequestDue = false;
    isRequestInFlight = true;
    lastRequest = chooseRequest(nowNanos);
    isReading = lastRequest instanceof LeaseAction.Read;
    return Optional.of(lastRequest);
  }

  private LeaseAction chooseRequest(long nowNanos) {
    if (lastRows == null || !pendingAttempt.isEmpty()) {
      return new LeaseAction.Read();
    }
    if (getGrant(nowNanos).isPresent()) {
      startAttempt(nowNanos);
      return new LeaseAction.Renew(grant.epoch(), pendingAttempt, grant.epochVersion());
    }
    grant = null;
    if (isTakeoverAllowed(nowNanos)) {
      startAttempt(nowNanos);
      EpochCounter.Choice choice = epochs.choose(lastRows, nowNanos);
      return new LeaseAction.TakeOver(
          choice.epoch(),
          pendingAttempt,
          lastRows.getEpochVersion(),
          lastRows.getRenewalVersion(),
          lastRows.restoreCount(),
          choice.raiseReasons());
    }
    return new LeaseAction.Read();
  }

  private boolean isTakeoverAllowed(long nowNanos) {
    boolean isFree = lastRows.epoch().map(row -> row.attempt().equals(RELEASED)).orElse(true);
    if (isFree && lastRows.countRestoresSinceWritten() == 0) {
      return true;
    }
    return nowNanos - rowsChangedNanos >= timing.getTakeoverDelayNanos();
  }

  private void startAttempt(long nowNanos) {
    pendingAttempt = self + "." + Long.toHexString(random.nextLong());
    pendingNanos = nowNanos;
  }

  /**
   * Tests whether the next request is to take over the lease.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return true if this process may take over the lease now
   */
  public boolean isTakeoverDue(long nowNanos) {
    boolean isIdle = !isRequestInFlight && !isReleased && pendingAttempt.isEmpty();
    return isIdle
        && lastRows != null
        && getGrant(nowNanos).isEmpty()
        && isTakeoverAllowed(nowNanos);
  }

  /**
   * Records the epoch of a coordinator of the zone that something else than the rows shows, such as
   * a target. The next takeover of this process has a higher one.
   *
   * @param epoch the epoch; one that can't have been reached by counting is ignored
   * @param source what showed the epoch, for the log, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public void onEpochSeen(long epoch, String source, long nowNanos) {
    epochs.recordSeen(epoch, source, nowNanos);
  }

  /**
   * Tests whether the rows must be read to learn the result of this process's own attempt, rather
   * than to see whether another process still renews the lease.
   *
   * @return true from the start of a takeover or renewal until its result is known
   */
  public boolean isAttemptPending() {
    return !pendingAttempt.isEmpty();
  }

  /**
   * Handles the rows that a read returned.
   *
   * @param rows the rows, not null
   * @param nowNanos the reading of the monotonic clock after the response arrived
   */
  public void onRead(LeaseRows rows, long nowNanos) {
    Objects.requireNonNull(rows, "rows");
    isRequestInFlight = false;
    if (!rows.equals(lastRows)) {
      lastRows = rows;
      rowsChangedNanos = nowNanos;
      rows.epoch().ifPresent(row -> epochs.recordSeen(row.epoch(), "the epoch row", nowNanos));
    }
    updateGrant(rows);
    scheduleNextRequest(nowNanos);
  }

  private void updateGrant(LeaseRows rows) {
    Optional<LeaseRows.Entry> epoch = rows.epoch();
    boolean isPendingWritten =
        !pendingAttempt.isEmpty()
            && rows.renewal().map(row -> row.attempt().equals(pendingAttempt)).orElse(false);
    boolean isOwnEpoch =
        epoch.isPresent()
            && (isPendingWritten && isTakeoverWritten(rows, epoch.get()) || isGrantOf(epoch.get()));
    if (!isOwnEpoch) {
      grant = null;
    } else if (isPendingWritten) {
      long expiryNanos = pendingNanos + timing.length().toNanos();
      grant = new LeaseGrant(epoch.get().epoch(), epoch.get().version(), expiryNanos);
      grantAttempt = epoch.get().attempt();
      grantRestoreCount = rows.restoreCount();
    }
    pendingAttempt = "";
  }

  /**
   * Tests whether the pending attempt is a takeover that is shown by the epoch row. One that was
   * chosen before a restore of the table service doesn't count, since its epoch may not be unique.
   */
  private boolean isTakeoverWritten(LeaseRows rows, LeaseRows.Entry epoch) {
    return epoch.attempt().equals(pendingAttempt) && epoch.restoreCount() == rows.restoreCount();
  }

  /** Tests whether the epoch row is the one that the takeover under the grant wrote. */
  private boolean isGrantOf(LeaseRows.Entry epoch) {
    return grant != null
        && epoch.version() == grant.epochVersion()
        && epoch.attempt().equals(grantAttempt);
  }

  /**
   * Handles the commit of a takeover or a renewal.
   *
   * @param restoreCount the restore count of the table service in its response
   * @param nowNanos the current reading of the monotonic clock
   */
  public void onCommitted(long restoreCount, long nowNanos) {
    isRequestInFlight = false;
    boolean isSameCount = restoreCount == grantRestoreCount;
    if (lastRequest instanceof LeaseAction.Renew && grant != null && isSameCount) {
      long expiryNanos = pendingNanos + timing.length().toNanos();
      grant = new LeaseGrant(grant.epoch(), grant.epochVersion(), expiryNanos);
      pendingAttempt = "";
      scheduleNextRequest(nowNanos);
    } else {
      isRequestDue = true;
    }
  }

  /**
   * Handles a takeover or a renewal that was not applied because a row had changed.
   *
   * @param nowNanos the current reading of the monotonic clock
   */
  public void onConflict(long nowNanos) {
    isRequestInFlight = false;
    pendingAttempt = "";
    grant = null;
    lastRows = null;
    nextRequestNanos = nowNanos;
  }

  /**
   * Handles a failed request. If it may have taken effect, the next read shows whether it did.
   *
   * @param nowNanos the current reading of the monotonic clock
   */
  public void onFailure(long nowNanos) {
    isRequestInFlight = false;
    long delayNanos = timing.renewInterval().toNanos() / (isReading ? 1 : 4);
    nextRequestNanos = nowNanos + delayNanos;
  }

  /**
   * Releases the lease for good, as at shutdown.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the request that releases the lease, or empty if this process does not hold it
   */
  public Optional<LeaseAction> release(long nowNanos) {
    Optional<LeaseAction> request =
        getGrant(nowNanos)
            .map(
                held ->
                    new LeaseAction.Release(held.epoch(), held.epochVersion(), grantRestoreCount));
    isReleased = true;
    grant = null;
    return request;
  }

  private void scheduleNextRequest(long nowNanos) {
    if (grant != null) {
      nextRequestNanos = pendingNanos + timing.renewInterval().toNanos();
      return;
    }
    long untilTakeoverNanos = rowsChangedNanos + timing.getTakeoverDelayNanos() - nowNanos;
    long delayNanos = Math.min(timing.pollInterval().toNanos(), Math.max(0, untilTakeoverNanos));
    isRequestDue = isTakeoverAllowed(nowNanos);
    nextRequestNanos = nowNanos + delayNanos;
  }
}
