package io.fireflyshed.bench.order;

import io.fireflyshed.bench.EventQueue;
import io.fireflyshed.coordination.order.OrderAction;
import io.fireflyshed.coordination.order.OrderKey;
import io.fireflyshed.coordination.order.OrderLedger;
import io.fireflyshed.coordination.order.OrderReply;
import io.fireflyshed.coordination.order.OrderSettings;
import io.fireflyshed.protocol.order.OrderCodec;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.RowKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Offers orders to the ledgers of several entries in virtual time. */
final class OrderLoad {

  private static final long SECOND = 1_000_000_000L;
  private static final long TICK = 10_000_000L;
  private static final long DESK_TIME = 20_000_000L;
  private static final long DRAIN_TIME = 20 * SECOND;
  private static final String DIGEST = "0123456789abcdef0123456789abcdef";
  private static final String ANSWER = "{\"number\":1234567,\"status\":\"placed\"}";

  private final EventQueue events = new EventQueue();
  private final LimitedStore store;
  private final List<OrderLedger> ledgers = new ArrayList<>();
  private final UniformRandomProvider random;
  private final Map<Long, Long> startBySubmission = new HashMap<>();
  private final Set<OrderKey> ran = new HashSet<>();
  private final Histogram latencies = new Histogram(60_000_000L, 3);
  private long nextSubmission = 1;
  private long refused;
  private long doubled;

  OrderLoad(OrderSettings settings, int entries, LimitedStore.Unit unit, int writes, long seed) {
    store = new LimitedStore(events, writes, unit);
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < entries; i++) {
      ledgers.add(new OrderLedger(settings, "entry-" + i));
    }
  }

  /** Offers orders at a rate for some time and waits until all are answered or timed out. */
  void run(int ordersPerSecond, int seconds) {
    long gap = SECOND / ordersPerSecond;
    long count = (long) ordersPerSecond * seconds;
    for (long i = 0; i < count; i++) {
      events.at(i * gap + random.nextLong(gap), this::offer);
    }
    long end = seconds * SECOND + DRAIN_TIME;
    for (int i = 0; i < ledgers.size(); i++) {
      OrderLedger ledger = ledgers.get(i);
      for (long at = random.nextLong(TICK); at < end; at += TICK) {
        events.at(at, () -> perform(ledger, ledger.tick(events.getNow())));
      }
    }
    events.runUntil(end);
  }

  Histogram getLatencies() {
    return latencies;
  }

  LimitedStore getStore() {
    return store;
  }

  long getRefused() {
    return refused;
  }

  long getDoubled() {
    return doubled;
  }

  long getOpen() {
    return startBySubmission.size();
  }

  private void offer() {
    OrderLedger ledger = ledgers.get(random.nextInt(ledgers.size()));
    long submission = nextSubmission++;
    startBySubmission.put(submission, events.getNow());
    OrderKey key = new OrderKey(new ServiceName("desk"), "account-1", "order-" + submission);
    perform(ledger, ledger.submit(events.getNow(), submission, key, DIGEST));
  }

  private void perform(OrderLedger ledger, List<OrderAction> actions) {
    actions.forEach(a -> perform(ledger, a));
  }

  private void perform(OrderLedger ledger, OrderAction action) {
    if (action instanceof OrderAction.CommitClaims a) {
      store.commit(
          OrderCodec.toTransaction(a), result -> perform(ledger, onCommit(ledger, a, result)));
    } else if (action instanceof OrderAction.CommitResults a) {
      store.commit(
          OrderCodec.toTransaction(a),
          result ->
              perform(
                  ledger, ledger.onResultsEnded(events.getNow(), a.batch(), result.isPresent())));
    } else if (action instanceof OrderAction.ReadClaim a) {
      store.read(
          OrderCodec.toRowKey(a.key()),
          row ->
              perform(
                  ledger,
                  ledger.onClaimRead(
                      events.getNow(),
                      a.key(),
                      a.attempt(),
                      row.map(r -> OrderCodec.toClaim(a.key(), r)))));
    } else if (action instanceof OrderAction.ReadResult a) {
      store.scan(
          OrderCodec.RESULTS,
          OrderCodec.toResultPrefix(a.holder().group()),
          rows ->
              perform(
                  ledger,
                  ledger.onResultRead(
                      events.getNow(),
                      a.key(),
                      a.attempt(),
                      OrderCodec.findResult(a.holder().attempt(), rows))));
    } else if (action instanceof OrderAction.Dispatch a) {
      doubled += ran.add(a.key()) ? 0 : 1;
      events.after(
          DESK_TIME,
          () ->
              perform(
                  ledger, ledger.onAnswered(events.getNow(), a.key(), a.attempt(), 201, ANSWER)));
    } else if (action instanceof OrderAction.Answer a) {
      answer(a);
    }
  }

  private List<OrderAction> onCommit(
      OrderLedger ledger, OrderAction.CommitClaims action, Optional<CommitResult> result) {
    long now = events.getNow();
    if (result.isEmpty()) {
      return ledger.onClaimsUnknown(now, action.transaction());
    }
    if (result.get().isCommitted()) {
      return ledger.onClaimsCommitted(now, action.transaction());
    }
    Set<RowKey> rows = Set.copyOf(result.get().conflicts());
    Set<OrderKey> conflicts =
        action.claims().stream()
            .map(w -> w.claim().key())
            .filter(k -> rows.contains(OrderCodec.toRowKey(k)))
            .collect(Collectors.toSet());
    return ledger.onClaimsConflict(now, action.transaction(), conflicts);
  }

  private void answer(OrderAction.Answer action) {
    long start = startBySubmission.remove(action.submission());
    if (action.reply() instanceof OrderReply.Completed) {
      latencies.recordValue((events.getNow() - start) / 1000);
    } else {
      refused++;
    }
  }
}
