package io.fireflyshed.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.limits.ShareLedgerSimulation.InjectedFault;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice.ShareDemand;
import io.fireflyshed.state.peer.ShareKey;
import io.fireflyshed.state.peer.ShareKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ShareLedger}. */
public class ShareLedgerTest {

  private static final int SCHEDULES = 6_000;
  private static final double LIMIT = 40;
  private static final double ROUNDING_ERROR = 1e-6;
  private static final Duration LEASE = Duration.ofSeconds(1);
  private static final ShareKey RATE = new ShareKey("salon", ShareKind.RATE);
  private static final ShareKey CONCURRENCY = new ShareKey("salon", ShareKind.CONCURRENCY);
  private static final LoanTerms RATE_TERMS = new LoanTerms(4, LEASE, Duration.ZERO, 0.04);
  private static final LoanTerms CONCURRENCY_TERMS =
      new LoanTerms(4, LEASE, Duration.ofSeconds(3), 0.25);

  private static double run(long seed, ShareKey key, InjectedFault injectedFault) {
    LoanTerms terms = key.equals(RATE) ? RATE_TERMS : CONCURRENCY_TERMS;
    return new ShareLedgerSimulation(seed, terms, key, LIMIT, injectedFault).run();
  }

  /** Tests of the sum of all shares under faults. */
  public static class Sum {

    @DataProvider
    public Object[][] keys() {
      return new Object[][] {{RATE}, {CONCURRENCY}};
    }

    @Test(dataProvider = "keys")
    public void staysWithinTheLimitUnderFaults(ShareKey key) {
      double maximum = 0;
      for (long seed = 1; seed <= SCHEDULES; seed++) {
        double sum = run(seed, key, InjectedFault.NONE);
        maximum = Math.max(maximum, sum);
        assertTrue(
            sum <= LIMIT + ROUNDING_ERROR,
            key
                + " seed "
                + seed
                + " reached "
                + sum
                + "; reproduce with: mvn -o -pl fireflyshed-core -Dtest=ShareLedgerTest$Sum test");
      }
      assertTrue(
          maximum > 0.9 * LIMIT,
          "no schedule came close to the limit; the largest sum was " + maximum);
    }

    @DataProvider
    public Object[][] injectedFaults() {
      return new Object[][] {
        {RATE, InjectedFault.RESTART_USES_FULL_SHARE},
        {RATE, InjectedFault.BORROWER_LEASE_TOO_LONG},
        {CONCURRENCY, InjectedFault.RESTART_USES_FULL_SHARE},
        {CONCURRENCY, InjectedFault.LENDER_IGNORES_HOLD},
        {CONCURRENCY, InjectedFault.USE_NOT_REPORTED},
      };
    }

    @Test(dataProvider = "injectedFaults")
    public void exceedsTheLimitWithInjectedFaults(ShareKey key, InjectedFault injectedFault) {
      long failingSeed =
          LongStream.rangeClosed(1, SCHEDULES)
              .filter(seed -> run(seed, key, injectedFault) > LIMIT + ROUNDING_ERROR)
              .findFirst()
              .orElse(0);
      assertTrue(failingSeed > 0, injectedFault + " was not detected by any schedule");
    }
  }

  /** Tests of the example in the Javadoc. */
  public static class Example {

    @Test
    public void runs() {
      ManualClock clock = new ManualClock();
      LonePeerBus bus = new LonePeerBus(new PeerId("p0"));
      LoanTerms terms = new LoanTerms(1, LEASE, Duration.ZERO, 0.04);
      ShareLedger ledger = new ShareLedger(bus.getSelf(), RATE, 900, terms, clock.nanoTime());
      ledger.setDemand(250);
      ledger
          .newDemands(bus.getLivePeers(), clock.nanoTime())
          .forEach(d -> bus.send(d.receiver(), d));
      double perSecond = ledger.getUsable(clock.nanoTime());
      assertEquals(perSecond, 36, ROUNDING_ERROR);
    }
  }

  /** Tests of how shares follow demand. */
  public static class Demand {

    private static final long STEP_NANOS = Duration.ofMillis(250).toNanos();
    private final List<ShareLedger> ledgers = new ArrayList<>();
    private final List<PeerId> ids = new ArrayList<>();
    private long nowNanos;

    private void startLedgers() {
      ledgers.clear();
      ids.clear();
      for (int i = 0; i < 4; i++) {
        ids.add(new PeerId("p" + i));
        ledgers.add(new ShareLedger(ids.get(i), RATE, LIMIT, RATE_TERMS, nowNanos));
      }
      nowNanos += RATE_TERMS.getLenderExpiryNanos();
    }

    private int exchangeNotices(int rounds) {
      int notices = 0;
      for (int i = 0; i < rounds; i++) {
        nowNanos += STEP_NANOS;
        for (ShareLedger ledger : ledgers) {
          PeerId self = ids.get(ledgers.indexOf(ledger));
          List<PeerId> others = ids.stream().filter(p -> !p.equals(self)).toList();
          for (ShareDemand demand : ledger.newDemands(others, nowNanos)) {
            notices++;
            ledgers
                .get(ids.indexOf(demand.receiver()))
                .handleDemand(demand, nowNanos)
                .ifPresent(grant -> ledger.handleGrant(grant, nowNanos));
          }
        }
      }
      return notices;
    }

    @Test
    public void movesSharesToTheProcessThatNeedsThem() {
      startLedgers();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchangeNotices(2);
      assertTrue(ledgers.get(0).getUsable(nowNanos) > 0.95 * LIMIT);
    }

    @Test
    public void dividesTheLimitBetweenTwoProcessesThatNeedMore() {
      startLedgers();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchangeNotices(4);
      ledgers.get(1).setDemand(LIMIT);
      exchangeNotices(4);
      assertEquals(ledgers.get(0).getUsable(nowNanos), LIMIT / 2, 0.05 * LIMIT);
      assertEquals(ledgers.get(1).getUsable(nowNanos), LIMIT / 2, 0.05 * LIMIT);
    }

    @Test
    public void returnsLoansWhenEveryProcessNeedsItsShare() {
      startLedgers();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchangeNotices(4);
      ledgers.forEach(l -> l.setDemand(2 * LIMIT));
      exchangeNotices(4);
      ledgers.forEach(l -> assertEquals(l.getUsable(nowNanos), LIMIT / 4, ROUNDING_ERROR));
    }

    @Test
    public void restoresTheShareOfADisconnectedLenderAfterTheLease() {
      startLedgers();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchangeNotices(4);
      assertTrue(ledgers.get(1).getUsable(nowNanos) < 0.1 * LIMIT);
      nowNanos += RATE_TERMS.getLenderExpiryNanos();
      assertEquals(ledgers.get(1).getUsable(nowNanos), LIMIT / 4, ROUNDING_ERROR);
      assertEquals(ledgers.get(0).getUsable(nowNanos), LIMIT / 4, ROUNDING_ERROR);
    }

    @Test
    public void sendsNoDemandsWhileBaseSharesSuffice() {
      startLedgers();
      ledgers.forEach(l -> l.setDemand(LIMIT / 8));
      assertEquals(exchangeNotices(10), 0);
    }

    @Test
    public void restrictsANewProcessToTheReserve() {
      ShareLedger ledger = new ShareLedger(new PeerId("new"), RATE, LIMIT, RATE_TERMS, nowNanos);
      assertEquals(ledger.getUsable(nowNanos), LIMIT / 4 * RATE_TERMS.reserve(), ROUNDING_ERROR);
      assertEquals(
          ledger.getUsable(nowNanos + RATE_TERMS.getLenderExpiryNanos()),
          LIMIT / 4,
          ROUNDING_ERROR);
    }
  }
}
