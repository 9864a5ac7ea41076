package io.fireflyshed.coordination.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.order.OrderAction.Answer;
import io.fireflyshed.coordination.order.OrderAction.CommitClaims;
import io.fireflyshed.coordination.order.OrderAction.CommitResults;
import io.fireflyshed.coordination.order.OrderAction.Dispatch;
import io.fireflyshed.coordination.order.OrderAction.ReadClaim;
import io.fireflyshed.coordination.order.OrderReply.NotRunReason;
import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link OrderLedger}. */
public class OrderLedgerTest {

  private static final OrderSettings SETTINGS =
      new OrderSettings(
          Duration.ofMillis(100), 10, 2, 3, Duration.ofSeconds(2), Duration.ofMillis(100), 2);
  private static final long INTERVAL = Duration.ofMillis(100).toNanos();

  private static OrderKey newKey(String key) {
    return new OrderKey(new ServiceName("desk"), "salon", key);
  }

  private static <T extends OrderAction> T single(Class<T> type, List<OrderAction> actions) {
    List<T> found = actions.stream().filter(type::isInstance).map(type::cast).toList();
    assertEquals(found.size(), 1, actions.toString());
    return found.get(0);
  }

  /** Runs the example of the Javadoc. */
  public static class ExampleTest {

    @Test
    public void answersAnOrder() {
      OrderLedger ledger = new OrderLedger(OrderSettings.ofDefaults(), "entry-1");
      OrderKey key = new OrderKey(new ServiceName("desk"), "salon", "order-1");
      List<OrderAction> actions = ledger.submit(0, 1, key, "digest");
      CommitClaims claims = (CommitClaims) actions.get(0);
      actions = ledger.onClaimsCommitted(0, claims.transaction());
      Dispatch dispatch = (Dispatch) actions.get(0);
      actions = ledger.onAnswered(0, key, dispatch.attempt(), 201, "placed");
      assertEquals(actions.get(0), new Answer(1, new OrderReply.Completed(201, "placed")));
      assertEquals(single(CommitResults.class, actions).resultsByGroup().size(), 1);
    }
  }

  /** Tests of groups. */
  public static class GroupTest {

    private final OrderLedger ledger = new OrderLedger(SETTINGS, "p");

    @Test
    public void conflictOfOneOrderDoesNotFailTheOthers() {
      ledger.submit(0, 1, newKey("first"), "d");
      ledger.submit(1, 2, newKey("second"), "d");
      ledger.submit(2, 3, newKey("third"), "d");
      CommitClaims group = single(CommitClaims.class, ledger.tick(INTERVAL));
      assertEquals(group.claims().size(), 2);
      List<OrderAction> actions =
          ledger.onClaimsConflict(INTERVAL, group.transaction(), Set.of(newKey("second")));
      assertEquals(single(ReadClaim.class, actions).key(), newKey("second"));
      CommitClaims again = single(CommitClaims.class, actions);
      assertEquals(again.claims().get(0).claim().key(), newKey("third"));
      assertEquals(
          again.claims().get(0).claim().attempt(), group.claims().get(1).claim().attempt());
    }
  }

  /** Tests of answers. */
  public static class AnswerTest {

    private final OrderKey key = newKey("order");
    private OrderLedger ledger;

    @BeforeMethod
    public void setUp() {
      ledger = new OrderLedger(SETTINGS, "p");
    }

    private OrderReply reply(List<OrderAction> actions) {
      return single(Answer.class, actions).reply();
    }

    private Dispatch dispatch() {
      CommitClaims claims = single(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      return single(Dispatch.class, ledger.onClaimsCommitted(0, claims.transaction()));
    }

    @Test
    public void refusesAtOnceWhenTheStoreIsDown() {
      CommitClaims claims = single(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      OrderReply reply = reply(ledger.onClaimsRefused(0, claims.transaction()));
      assertEquals(reply, new OrderReply.NotRun(NotRunReason.STORE_UNAVAILABLE));
    }

    @Test
    public void refusesAnotherBody() {
      dispatch();
      assertEquals(reply(ledger.submit(1, 2, key, "other")), new OrderReply.KeyReused());
    }

    @Test
    public void triesAnotherTargetAfterNotRunOnly() {
      Dispatch first = dispatch();
      Dispatch second =
          single(Dispatch.class, ledger.onBroken(1, key, first.attempt(), Outcome.NOT_RUN));
      assertEquals(second.index(), 1);
      List<OrderAction> actions = ledger.onBroken(2, key, second.attempt(), Outcome.UNKNOWN);
      assertEquals(reply(actions), new OrderReply.Unknown(true));
    }

    @Test
    public void doesNotDispatchAfterItsDeadline() {
      CommitClaims claims = single(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      long late = SETTINGS.claimTimeout().toNanos();
      List<OrderAction> actions = ledger.onClaimsCommitted(late, claims.transaction());
      assertEquals(reply(actions), new OrderReply.NotRun(NotRunReason.STORE_UNAVAILABLE));
      assertEquals(
          single(CommitResults.class, actions).resultsByGroup().size(), 1, "the claim is freed");
    }

    @Test
    public void claimOfAnotherProcessWithoutResultIsUnknown() {
      CommitClaims claims = single(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      ReadClaim read =
          single(ReadClaim.class, ledger.onClaimsConflict(0, claims.transaction(), Set.of(key)));
      StoredClaim stored = new StoredClaim(new OrderClaim(key, "dead-1", "d", "dead-g"), 7);
      ledger.onClaimRead(0, key, read.attempt(), Optional.of(stored));
      List<OrderAction> actions = ledger.onResultRead(0, key, read.attempt(), Optional.empty());
      assertEquals(reply(actions), new OrderReply.Unknown(false));
    }

    @Test
    public void refusesWhenTooManyAreOpen() {
      for (int i = 0; i < SETTINGS.maxOrders(); i++) {
        ledger.submit(0, i, newKey("k" + i), "d");
      }
      List<OrderAction> actions = ledger.submit(0, 99, newKey("more"), "d");
      assertTrue(actions.contains(new Answer(99, new OrderReply.NotRun(NotRunReason.QUEUE_FULL))));
    }
  }
}
