package io.fireflyshed.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.limits.ShareCluster.Breakage;
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
  private static final double ROUNDING = 1e-6;
  private static final Duration LEASE = Duration.ofSeconds(1);
  private static final ShareKey RATE = new ShareKey("salon", ShareKind.RATE);
  private static final ShareKey CONCURRENCY = new ShareKey("salon", ShareKind.CONCURRENCY);
  private static final ShareTerms RATE_TERMS = new ShareTerms(4, LEASE, Duration.ZERO, 0.04);
  private static final ShareTerms CONCURRENCY_TERMS =
      new ShareTerms(4, LEASE, Duration.ofSeconds(3), 0.25);

  private static double run(long seed, ShareKey key, Breakage breakage) {
    ShareTerms terms = key.equals(RATE) ? RATE_TERMS : CONCURRENCY_TERMS;
    return new ShareCluster(seed, terms, key, LIMIT, breakage).run();
  }

  /** Tests of the sum of all shares under faults. */
  public static class Sum {

    @DataProvider
    public Object[][] keys() {
      return new Object[][] {{RATE}, {CONCURRENCY}};
    }

    @Test(dataProvider = "keys")
    public void staysWithinTheLimitUnderFaults(ShareKey key) {
      double most = 0;
      for (long seed = 1; seed <= SCHEDULES; seed++) {
        double sum = run(seed, key, Breakage.NONE);
        most = Math.max(most, sum);
        assertTrue(
            sum <= LIMIT + ROUNDING,
            key
                + " seed "
                + seed
                + " reached "
                + sum
                + "; mvn -o -pl fireflyshed-core -Dtest=ShareLedgerTest$Sum test");
      }
      assertTrue(most > 0.9 * LIMIT, "the schedules never came near the limit: " + most);
    }

    @DataProvider
    public Object[][] breakages() {
      return new Object[][] {
        {RATE, Breakage.RESTART_USES_ALL},
        {RATE, Breakage.BORROWER_COUNTS_LONGER},
        {CONCURRENCY, Breakage.RESTART_USES_ALL},
        {CONCURRENCY, Breakage.LENDER_IGNORES_HOLD},
        {CONCURRENCY, Breakage.USE_NOT_REPORTED},
      };
    }

    @Test(dataProvider = "breakages")
    public void isExceededByBrokenVariants(ShareKey key, Breakage breakage) {
      long caught =
          LongStream.rangeClosed(1, SCHEDULES)
              .filter(seed -> run(seed, key, breakage) > LIMIT + ROUNDING)
              .findFirst()
              .orElse(0);
      assertTrue(caught > 0, breakage + " was not noticed");
    }
  }

  /** Tests of the example in the Javadoc. */
  public static class Example {

    @Test
    public void runs() {
      ManualClock clock = new ManualClock();
      LonePeerBus bus = new LonePeerBus(new PeerId("p0"));
      ShareTerms terms = new ShareTerms(1, LEASE, Duration.ZERO, 0.04);
      ShareLedger ledger = new ShareLedger(bus.getSelf(), RATE, 900, terms, clock.nanoTime());
      ledger.setDemand(250);
      ledger
          .newDemands(bus.getLivePeers(), clock.nanoTime())
          .forEach(d -> bus.send(d.receiver(), d));
      double perSecond = ledger.getUsable(clock.nanoTime());
      assertEquals(perSecond, 36, ROUNDING);
    }
  }

  /** Tests of how shares follow demand. */
  public static class Demand {

    private static final long STEP = Duration.ofMillis(250).toNanos();
    private final List<ShareLedger> ledgers = new ArrayList<>();
    private final List<PeerId> ids = new ArrayList<>();
    private long now;

    private void start() {
      ledgers.clear();
      ids.clear();
      for (int i = 0; i < 4; i++) {
        ids.add(new PeerId("p" + i));
        ledgers.add(new ShareLedger(ids.get(i), RATE, LIMIT, RATE_TERMS, now));
      }
      now += RATE_TERMS.getLendNanos();
    }

    private int exchange(int rounds) {
      int notices = 0;
      for (int i = 0; i < rounds; i++) {
        now += STEP;
        for (ShareLedger ledger : ledgers) {
          PeerId self = ids.get(ledgers.indexOf(ledger));
          List<PeerId> others = ids.stream().filter(p -> !p.equals(self)).toList();
          for (ShareDemand demand : ledger.newDemands(others, now)) {
            notices++;
            ledgers
                .get(ids.indexOf(demand.receiver()))
                .onDemand(demand, now)
                .ifPresent(grant -> ledger.onGrant(grant, now));
          }
        }
      }
      return notices;
    }

    @Test
    public void movesSharesToTheProcessThatNeedsThem() {
      start();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchange(2);
      assertTrue(ledgers.get(0).getUsable(now) > 0.95 * LIMIT);
    }

    @Test
    public void sharesBetweenTwoProcessesThatNeedMore() {
      start();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchange(4);
      ledgers.get(1).setDemand(LIMIT);
      exchange(4);
      assertEquals(ledgers.get(0).getUsable(now), LIMIT / 2, 0.05 * LIMIT);
      assertEquals(ledgers.get(1).getUsable(now), LIMIT / 2, 0.05 * LIMIT);
    }

    @Test
    public void givesSharesBackWhenEveryProcessNeedsThem() {
      start();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchange(4);
      ledgers.forEach(l -> l.setDemand(2 * LIMIT));
      exchange(4);
      ledgers.forEach(l -> assertEquals(l.getUsable(now), LIMIT / 4, ROUNDING));
    }

    @Test
    public void givesACutOffLenderItsShareAfterTheLease() {
      start();
      ledgers.get(0).setDemand(2 * LIMIT);
      exchange(4);
      assertTrue(ledgers.get(1).getUsable(now) < 0.1 * LIMIT);
      now += RATE_TERMS.getLendNanos();
      assertEquals(ledgers.get(1).getUsable(now), LIMIT / 4, ROUNDING);
      assertEquals(ledgers.get(0).getUsable(now), LIMIT / 4, ROUNDING);
    }

    @Test
    public void saysNothingWhileBaseSharesSuffice() {
      start();
      ledgers.forEach(l -> l.setDemand(LIMIT / 8));
      assertEquals(exchange(10), 0);
    }

    @Test
    public void letsANewProcessUseOnlyTheReserve() {
      ShareLedger ledger = new ShareLedger(new PeerId("new"), RATE, LIMIT, RATE_TERMS, now);
      assertEquals(ledger.getUsable(now), LIMIT / 4 * RATE_TERMS.reserve(), ROUNDING);
      assertEquals(ledger.getUsable(now + RATE_TERMS.getLendNanos()), LIMIT / 4, ROUNDING);
    }
  }
}
