package io.fireflyshed.protocol.order;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.order.OrderAction;
import io.fireflyshed.coordination.order.OrderClaim;
import io.fireflyshed.coordination.order.OrderKey;
import io.fireflyshed.coordination.order.OrderResult;
import io.fireflyshed.coordination.order.StoredClaim;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts the claims and results of orders to table rows and back. */
public final class OrderCodec {

  /** The table of claims, which has one row per order. */
  public static final String CLAIMS = "orders";

  /** The table of results, which has one row per group and batch. */
  public static final String RESULTS = "order-results";

  private static final String ATTEMPT = "attempt";
  private static final String DIGEST = "digest";
  private static final String GROUP = "group";
  private static final String STATE = "state";
  private static final String STATUS = "status";
  private static final String BODY = "body";

  private OrderCodec() {}

  /**
   * Returns the key of the row that holds the claim of an order.
   *
   * @param key the order, not null
   * @return the key of the row, never null
   */
  public static RowKey toRowKey(OrderKey key) {
    return new RowKey(CLAIMS, key.toString());
  }

  /**
   * Returns the prefix of the keys of the rows that hold the results of a group.
   *
   * @param group the group, not null
   * @return the prefix, never null
   */
  public static String toResultPrefix(String group) {
    return group + "/";
  }

  /**
   * Creates the transaction that commits claims.
   *
   * @param action the claims, not null
   * @return the transaction, never null
   */
  public static Transaction toTransaction(OrderAction.CommitClaims action) {
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    for (OrderAction.ClaimWrite write : action.claims()) {
      OrderClaim claim = write.claim();
      RowKey key = toRowKey(claim.key());
      ObjectNode node = JsonUtils.getMapper().createObjectNode();
      node.put(ATTEMPT, claim.attempt());
      node.put(DIGEST, claim.digest());
      node.put(GROUP, claim.group());
      conditions.add(new Condition(key, write.expectedVersion()));
      writes.add(Write.ofPut(key, JsonUtils.toText(node)));
    }
    return new Transaction(conditions, writes);
  }

  /**
   * Creates the transaction that writes results. Applying it again changes nothing.
   *
   * @param action the results, not null
   * @return the transaction, never null
   */
  public static Transaction toTransaction(OrderAction.CommitResults action) {
    List<Write> writes = new ArrayList<>();
    action
        .resultsByGroup()
        .forEach(
            (group, results) -> {
              RowKey key = new RowKey(RESULTS, toResultPrefix(group) + action.batch());
              writes.add(Write.ofPut(key, toText(results)));
            });
    return new Transaction(List.of(), writes);
  }

  /**
   * Converts a row to a claim.
   *
   * @param key the order, not null
   * @param row the row of the claim, not null
   * @return the claim, never null
   * @throws IllegalArgumentException if the row does not contain a valid claim
   */
  public static StoredClaim toClaim(OrderKey key, Row row) {
    JsonNode node = JsonUtils.parse(row.value());
    OrderClaim claim =
        new OrderClaim(key, getText(node, ATTEMPT), getText(node, DIGEST), getText(node, GROUP));
    return new StoredClaim(claim, row.version());
  }

  /**
   * Finds the result of an attempt.
   *
   * @param attempt the attempt, not null
   * @param rows the rows with the results of its group, not null
   * @return the result, or empty if none is recorded
   * @throws IllegalArgumentException if a row does not contain valid results
   */
  public static Optional<OrderResult> findResult(String attempt, List<Row> rows) {
    for (Row row : rows) {
      for (JsonNode node : JsonUtils.parse(row.value())) {
        if (attempt.equals(node.path(ATTEMPT).asText())) {
          return Optional.of(toResult(attempt, node));
        }
      }
    }
    return Optional.empty();
  }

  private static OrderResult toResult(String attempt, JsonNode node) {
    OrderResult.State state = OrderResult.State.valueOf(getText(node, STATE));
    return new OrderResult(attempt, state, node.path(STATUS).asInt(), node.path(BODY).asText(""));
  }

  private static String toText(List<OrderResult> results) {
    ArrayNode array = JsonUtils.getMapper().createArrayNode();
    for (OrderResult result : results) {
      ObjectNode node = array.addObject();
      node.put(ATTEMPT, result.attempt());
      node.put(STATE, result.state().name());
      if (result.state() == OrderResult.State.FINISHED) {
        node.put(STATUS, result.status());
        node.put(BODY, result.body());
      }
    }
    return JsonUtils.toText(array);
  }

  private static String getText(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new IllegalArgumentException("order row has no text field " + field);
    }
    return value.textValue();
  }
}
