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

  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final LeaseTiming TIMING =
      new LeaseTiming(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(5), 0.01);
  private static final LeaseRows NO_ROWS = new LeaseRows(Optional.empty(), Optional.empty(), 0);

  private static ZoneLease newLease() {
    return new ZoneLease(new PeerId("p1"), TIMING, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
  }

  private static LeaseRows newRows(long version, long epoch, String attempt) {
    LeaseRows.Entry entry = new LeaseRows.Entry(version, epoch, attempt, 0);
    return new LeaseRows(Optional.of(entry), Optional.of(entry), 0);
  }

  /** Reports to a lease that no rows exist and returns the takeover that it requests. */
  private static LeaseAction.TakeOver sendTakeover(ZoneLease lease, long nowNanos) {
    assertEquals(lease.next(nowNanos), Optional.of(new LeaseAction.Read()));
    lease.onRead(NO_ROWS, nowNanos);
    return (LeaseAction.TakeOver) lease.next(nowNanos).orElseThrow();
  }

  private static ZoneLease newHeldLease() {
    ZoneLease lease = newLease();
    LeaseAction.TakeOver sent = sendTakeover(lease, 0);
    lease.onCommitted(0, SECOND_NANOS);
    assertEquals(lease.next(SECOND_NANOS), Optional.of(new LeaseAction.Read()));
    lease.onRead(newRows(7, 1, sent.attempt()), SECOND_NANOS);
    return lease;
  }

  /** Tests of a process that holds the lease or requests it. */
  public static class Holder {

    @Test
    public void countsTheLeaseFromBeforeTheRequestWasSent() {
      ZoneLease lease = newHeldLease();
      assertEquals(
          lease.getGrant(9 * SECOND_NANOS), Optional.of(new LeaseGrant(1, 7, 10 * SECOND_NANOS)));
      assertFalse(lease.getGrant(10 * SECOND_NANOS).isPresent());
    }

    @Test
    public void recognizesItsOwnAttemptAfterALostResponse() {
      ZoneLease lease = newLease();
      LeaseAction.TakeOver sent = sendTakeover(lease, 0);
      lease.onFailure(SECOND_NANOS);
      assertFalse(lease.getGrant(SECOND_NANOS).isPresent());
      assertEquals(lease.next(4 * SECOND_NANOS), Optional.of(new LeaseAction.Read()));
      lease.onRead(newRows(7, 1, sent.attempt()), 4 * SECOND_NANOS);
      assertEquals(lease.getGrant(4 * SECOND_NANOS).orElseThrow().expiryNanos(), 10 * SECOND_NANOS);
    }

    @Test
    public void hasNoGrantIfAnotherAttemptSucceeded() {
      ZoneLease lease = newLease();
      sendTakeover(lease, 0);
      lease.onFailure(SECOND_NANOS);
      lease.next(4 * SECOND_NANOS);
      lease.onRead(newRows(7, 1, "other"), 4 * SECOND_NANOS);
      assertFalse(lease.getGrant(4 * SECOND_NANOS).isPresent());
    }

    @Test
    public void renewalRequiresTheVersionOfTheEpochRow() {
      ZoneLease lease = newHeldLease();
      assertFalse(lease.next(2 * SECOND_NANOS).isPresent());
      LeaseAction.Renew renew = (LeaseAction.Renew) lease.next(3 * SECOND_NANOS).orElseThrow();
      assertEquals(renew.epochVersion(), 7);
      lease.onCommitted(0, 4 * SECOND_NANOS);
      assertEquals(
          lease.getGrant(12 * SECOND_NANOS).orElseThrow().expiryNanos(), 13 * SECOND_NANOS);
    }

    @Test
    public void losesTheLeaseOnAConflict() {
      ZoneLease lease = newHeldLease();
      lease.next(3 * SECOND_NANOS);
      lease.onConflict(4 * SECOND_NANOS);
      assertFalse(lease.getGrant(4 * SECOND_NANOS).isPresent());
    }

    @Test
    public void takesOverWithANewEpochAfterItsLeaseExpired() {
      ZoneLease lease = newHeldLease();
      LeaseAction action = lease.next(60 * SECOND_NANOS).orElseThrow();
      assertEquals(((LeaseAction.TakeOver) action).epoch(), 2);
    }
  }

  /** Tests of a process that waits for the lease of another one. */
  public static class Waiting {

    @Test
    public void waitsLongerThanTheLeaseAfterItSawTheRows() {
      ZoneLease lease = newLease();
      lease.next(0);
      lease.onRead(newRows(7, 1, "other"), 2 * SECOND_NANOS);
      long takeoverNanos = 2 * SECOND_NANOS + TIMING.getTakeoverDelayNanos();
      assertTrue(TIMING.getTakeoverDelayNanos() > 10 * SECOND_NANOS);
      assertTrue(lease.next(takeoverNanos - 1).orElseThrow() instanceof LeaseAction.Read);
      lease.onRead(newRows(7, 1, "other"), takeoverNanos - 1);
      assertTrue(lease.next(takeoverNanos).orElseThrow() instanceof LeaseAction.TakeOver);
    }

    @Test
    public void waitsAgainAfterARenewalOfTheHolder() {
      ZoneLease lease = newLease();
      lease.next(0);
      lease.onRead(newRows(7, 1, "other"), 0);
      lease.next(9 * SECOND_NANOS);
      lease.onRead(newRows(8, 1, "other2"), 9 * SECOND_NANOS);
      assertTrue(lease.next(15 * SECOND_NANOS).orElseThrow() instanceof LeaseAction.Read);
    }

    @Test
    public void takesOverAReleasedLeaseAtOnce() {
      ZoneLease lease = newLease();
      lease.next(0);
      lease.onRead(newRows(7, 4, ZoneLease.RELEASED), 0);
      LeaseAction action = lease.next(0).orElseThrow();
      assertEquals(((LeaseAction.TakeOver) action).epoch(), 5);
    }
  }
}
