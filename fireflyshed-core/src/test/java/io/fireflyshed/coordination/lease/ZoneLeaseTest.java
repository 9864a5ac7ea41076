package io.fireflyshed.coordination.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests {@link ZoneLease}. */
public class ZoneLeaseTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final LeaseTiming TIMING =
      new LeaseTiming(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(5), 0.01);
  private static final LeaseRows NO_ROWS = new LeaseRows(Optional.empty(), Optional.empty());

  private static ZoneLease newLease() {
    return new ZoneLease(new PeerId("p1"), TIMING, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
  }

  private static LeaseRows newRows(long version, long epoch, String attempt) {
    LeaseRows.Entry entry = new LeaseRows.Entry(version, epoch, attempt);
    return new LeaseRows(Optional.of(entry), Optional.of(entry));
  }

  /** Brings a lease to the takeover that was sent at a moment and returns it. */
  private static LeaseAction.TakeOver takeOver(ZoneLease lease, long nowNanos) {
    assertEquals(lease.next(nowNanos), Optional.of(new LeaseAction.Read()));
    lease.onRead(NO_ROWS, nowNanos);
    return (LeaseAction.TakeOver) lease.next(nowNanos).orElseThrow();
  }

  private static ZoneLease newHeld() {
    ZoneLease lease = newLease();
    LeaseAction.TakeOver sent = takeOver(lease, 0);
    lease.onCommitted(SECOND);
    assertEquals(lease.next(SECOND), Optional.of(new LeaseAction.Read()));
    lease.onRead(newRows(7, 1, sent.attempt()), SECOND);
    return lease;
  }

  /** Tests of the holder. */
  public static class Holder {

    @Test
    public void countsFromBeforeTheRequestWasSent() {
      ZoneLease lease = newHeld();
      assertEquals(lease.getGrant(9 * SECOND), Optional.of(new LeaseGrant(1, 7, 10 * SECOND)));
      assertFalse(lease.getGrant(10 * SECOND).isPresent());
    }

    @Test
    public void settlesALostAnswerByItsOwnAttempt() {
      ZoneLease lease = newLease();
      LeaseAction.TakeOver sent = takeOver(lease, 0);
      lease.onFailure(SECOND);
      assertFalse(lease.getGrant(SECOND).isPresent());
      assertEquals(lease.next(4 * SECOND), Optional.of(new LeaseAction.Read()));
      lease.onRead(newRows(7, 1, sent.attempt()), 4 * SECOND);
      assertEquals(lease.getGrant(4 * SECOND).orElseThrow().expiryNanos(), 10 * SECOND);
    }

    @Test
    public void holdsNothingIfAnotherAttemptWon() {
      ZoneLease lease = newLease();
      takeOver(lease, 0);
      lease.onFailure(SECOND);
      lease.next(4 * SECOND);
      lease.onRead(newRows(7, 1, "other"), 4 * SECOND);
      assertFalse(lease.getGrant(4 * SECOND).isPresent());
    }

    @Test
    public void renewsOnConditionOfTheEpochRow() {
      ZoneLease lease = newHeld();
      assertFalse(lease.next(2 * SECOND).isPresent());
      LeaseAction.Renew renew = (LeaseAction.Renew) lease.next(3 * SECOND).orElseThrow();
      assertEquals(renew.epochVersion(), 7);
      lease.onCommitted(4 * SECOND);
      assertEquals(lease.getGrant(12 * SECOND).orElseThrow().expiryNanos(), 13 * SECOND);
    }

    @Test
    public void losesTheLeaseOnAConflict() {
      ZoneLease lease = newHeld();
      lease.next(3 * SECOND);
      lease.onConflict(4 * SECOND);
      assertFalse(lease.getGrant(4 * SECOND).isPresent());
    }

    @Test
    public void takesANewEpochAfterItLapsedUnaware() {
      ZoneLease lease = newHeld();
      LeaseAction action = lease.next(60 * SECOND).orElseThrow();
      assertEquals(((LeaseAction.TakeOver) action).epoch(), 2);
    }
  }

  /** Tests of a process that waits. */
  public static class Waiting {

    @Test
    public void waitsLongerThanTheLeaseFromWhenItSawTheRows() {
      ZoneLease lease = newLease();
      lease.next(0);
      lease.onRead(newRows(7, 1, "other"), 2 * SECOND);
      long lapse = 2 * SECOND + TIMING.getWatchNanos();
      assertTrue(TIMING.getWatchNanos() > 10 * SECOND);
      assertTrue(lease.next(lapse - 1).orElseThrow() instanceof LeaseAction.Read);
      lease.onRead(newRows(7, 1, "other"), lapse - 1);
      assertTrue(lease.next(lapse).orElseThrow() instanceof LeaseAction.TakeOver);
    }

    @Test
    public void startsAnewWhenTheHolderRenewed() {
      ZoneLease lease = newLease();
      lease.next(0);
      lease.onRead(newRows(7, 1, "other"), 0);
      lease.next(9 * SECOND);
      lease.onRead(newRows(8, 1, "other2"), 9 * SECOND);
      assertTrue(lease.next(15 * SECOND).orElseThrow() instanceof LeaseAction.Read);
    }

    @Test
    public void takesAReleasedLeaseAtOnce() {
      ZoneLease lease = newLease();
      lease.next(0);
      lease.onRead(newRows(7, 4, ZoneLease.RELEASED), 0);
      LeaseAction action = lease.next(0).orElseThrow();
      assertEquals(((LeaseAction.TakeOver) action).epoch(), 5);
    }
  }
}
