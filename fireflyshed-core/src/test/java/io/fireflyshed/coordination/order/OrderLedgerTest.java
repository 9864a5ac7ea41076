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
  private static final long GROUP_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

  private static OrderKey newKey(String key) {
    return new OrderKey(new ServiceName("desk"), "salon", key);
  }

  private static <T extends OrderAction> T getOnly(Class<T> type, List<OrderAction> actions) {
    List<T> matching = actions.stream().filter(type::isInstance).map(type::cast).toList();
    assertEquals(matching.size(), 1, actions.toString());
    return matching.get(0);
  }

  /** Runs the example in the Javadoc of {@link OrderLedger}. */
  public static class ExampleTest {

    @Test
    public void repliesWithTheResponseOfTheTarget() {
      OrderLedger ledger = new OrderLedger(OrderSettings.ofDefaults(), "entry-1");
      OrderKey key = new OrderKey(new ServiceName("desk"), "salon", "order-1");
      List<OrderAction> actions = ledger.submit(0, 1, key, "digest");
      CommitClaims claims = (CommitClaims) actions.get(0);
      actions = ledger.onClaimsCommitted(0, claims.transaction());
      Dispatch dispatch = (Dispatch) actions.get(0);
      actions = ledger.onAnswered(0, key, dispatch.attempt(), 201, "placed");
      assertEquals(actions.get(0), new Answer(1, new OrderReply.Completed(201, "placed")));
      assertEquals(getOnly(CommitResults.class, actions).resultsByGroup().size(), 1);
    }
  }

  /** Tests of groups of claims. */
  public static class GroupTest {

    private final OrderLedger ledger = new OrderLedger(SETTINGS, "p");

    @Test
    public void conflictOfOneClaimDoesNotFailTheOthers() {
      ledger.submit(0, 1, newKey("first"), "d");
      ledger.submit(1, 2, newKey("second"), "d");
      ledger.submit(2, 3, newKey("third"), "d");
      CommitClaims group = getOnly(CommitClaims.class, ledger.tick(GROUP_INTERVAL_NANOS));
      assertEquals(group.claims().size(), 2);
      List<OrderAction> actions =
          ledger.onClaimsConflict(
              GROUP_INTERVAL_NANOS, group.transaction(), Set.of(newKey("second")));
      assertEquals(getOnly(ReadClaim.class, actions).key(), newKey("second"));
      CommitClaims requeued = getOnly(CommitClaims.class, actions);
      assertEquals(requeued.claims().get(0).claim().key(), newKey("third"));
      assertEquals(
          requeued.claims().get(0).claim().attempt(), group.claims().get(1).claim().attempt());
    }
  }

  /** Tests of replies to callers. */
  public static class ReplyTest {

    private final OrderKey key = newKey("order");
    private OrderLedger ledger;

    @BeforeMethod
    public void setUp() {
      ledger = new OrderLedger(SETTINGS, "p");
    }

    private OrderReply getReply(List<OrderAction> actions) {
      return getOnly(Answer.class, actions).reply();
    }

    private Dispatch submitAndDispatch() {
      CommitClaims claims = getOnly(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      return getOnly(Dispatch.class, ledger.onClaimsCommitted(0, claims.transaction()));
    }

    @Test
    public void repliesNotRunAtOnceWhenTheClaimIsRefused() {
      CommitClaims claims = getOnly(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      OrderReply reply = getReply(ledger.onClaimsRefused(0, claims.transaction()));
      assertEquals(reply, new OrderReply.NotRun(NotRunReason.STORE_UNAVAILABLE));
    }

    @Test
    public void rejectsAReusedKeyWithAnotherBody() {
      submitAndDispatch();
      assertEquals(getReply(ledger.submit(1, 2, key, "other")), new OrderReply.KeyReused());
    }

    @Test
    public void triesAnotherTargetOnlyAfterNotRun() {
      Dispatch first = submitAndDispatch();
      Dispatch second =
          getOnly(Dispatch.class, ledger.onBroken(1, key, first.attempt(), Outcome.NOT_RUN));
      assertEquals(second.index(), 1);
      List<OrderAction> actions = ledger.onBroken(2, key, second.attempt(), Outcome.UNKNOWN);
      assertEquals(getReply(actions), new OrderReply.Unknown(true));
    }

    @Test
    public void doesNotDispatchAfterItsDeadline() {
      CommitClaims claims = getOnly(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      long deadlineNanos = SETTINGS.claimTimeout().toNanos();
      List<OrderAction> actions = ledger.onClaimsCommitted(deadlineNanos, claims.transaction());
      assertEquals(getReply(actions), new OrderReply.NotRun(NotRunReason.STORE_UNAVAILABLE));
      assertEquals(
          getOnly(CommitResults.class, actions).resultsByGroup().size(),
          1,
          "the result that releases the claim is not recorded");
    }

    @Test
    public void claimOfAnotherProcessWithoutResultIsUnknown() {
      CommitClaims claims = getOnly(CommitClaims.class, ledger.submit(0, 1, key, "d"));
      ReadClaim read =
          getOnly(ReadClaim.class, ledger.onClaimsConflict(0, claims.transaction(), Set.of(key)));
      StoredClaim stored = new StoredClaim(new OrderClaim(key, "dead-1", "d", "dead-g"), 7);
      ledger.onClaimRead(0, key, read.attempt(), Optional.of(stored));
      List<OrderAction> actions = ledger.onResultRead(0, key, read.attempt(), Optional.empty());
      assertEquals(getReply(actions), new OrderReply.Unknown(false));
    }

    @Test
    public void rejectsAnOrderWhenTooManyAreOpen() {
      for (int i = 0; i < SETTINGS.maxOrders(); i++) {
        ledger.submit(0, i, newKey("k" + i), "d");
      }
      List<OrderAction> actions = ledger.submit(0, 99, newKey("more"), "d");
      assertTrue(actions.contains(new Answer(99, new OrderReply.NotRun(NotRunReason.QUEUE_FULL))));
    }
  }
}
