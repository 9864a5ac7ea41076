package io.fireflyshed.transport.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Claims each order in the table service before it is sent, so that it runs at most once.
 *
 * <p>A claim whose commit was not confirmed is never followed by a dispatch. Thread safe.
 */
public final class ClaimingOrderPlacer implements OrderPlacer {

  private static final String TABLE = "orders";
  private static final int RETRY_AFTER_SECONDS = 1;

  private final TableService table;
  private final PlainService plainService;

  /**
   * Creates a placer.
   *
   * @param table keeps the claims, not null
   * @param plainService talks to targets, not null
   */
  public ClaimingOrderPlacer(TableService table, PlainService plainService) {
    this.table = table;
    this.plainService = plainService;
  }

  @Override
  public CompletableFuture<DeskReply> place(OrderRequest order) {
    RowKey key = new RowKey(TABLE, order.service() + "/" + order.account() + "/" + order.key());
    ObjectNode claim = JsonUtils.getMapper().createObjectNode();
    claim.put("attempt", UUID.randomUUID().toString());
    claim.put("digest", DigestUtils.sha256Hex(order.body()));
    Transaction transaction =
        new Transaction(
            List.of(Condition.ofAbsent(key)), List.of(Write.ofPut(key, JsonUtils.toText(claim))));
    return table
        .commit(transaction)
        .exceptionallyCompose(e -> CompletableFuture.failedFuture(newStoreProblem()))
        .thenCompose(result -> onClaim(order, key, claim, result));
  }

  private CompletableFuture<DeskReply> onClaim(
      OrderRequest order, RowKey key, ObjectNode claim, CommitResult result) {
    if (!result.isCommitted()) {
      return table.read(key).thenApply(row -> repeat(order, row));
    }
    return plainService
        .order(order.targets().get(0), order.key(), order.body())
        .thenCompose(reply -> record(key, claim, reply));
  }

  private CompletableFuture<DeskReply> record(RowKey key, ObjectNode claim, DeskReply reply) {
    ObjectNode done = claim.deepCopy().put("status", reply.status()).put("body", reply.body());
    Transaction transaction =
        new Transaction(List.of(), List.of(Write.ofPut(key, JsonUtils.toText(done))));
    return table.commit(transaction).handle((result, error) -> reply);
  }

  private static DeskReply repeat(OrderRequest order, Optional<Row> row) {
    JsonNode claim = JsonUtils.parse(row.map(Row::value).orElse("{}"));
    if (!claim.path("digest").asText().equals(DigestUtils.sha256Hex(order.body()))) {
      throw new ProblemException(
          Problem.ofRefusal(422, "key-reused", "the key was used with another body"));
    }
    if (claim.has("status")) {
      return new DeskReply(claim.get("status").asInt(), claim.path("body").asText());
    }
    throw new ProblemException(
        new Problem(
            409,
            "order-unknown",
            "an earlier request with this key has no recorded result",
            "claim",
            "table service",
            Outcome.UNKNOWN,
            true,
            OptionalInt.of(RETRY_AFTER_SECONDS)));
  }

  private static ProblemException newStoreProblem() {
    return new ProblemException(
        Problem.ofLater(
            503, "store-unavailable", "the order can't be claimed now", RETRY_AFTER_SECONDS));
  }
}
