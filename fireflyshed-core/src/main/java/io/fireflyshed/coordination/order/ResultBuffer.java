package io.fireflyshed.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Buffers results until they are known to be recorded. Not thread safe; owned by an {@link
 * OrderLedger}.
 */
final class ResultBuffer {

  /** A result and the group of its claim. */
  private record BufferedResult(String group, OrderResult result) {}

  private final Map<String, BufferedResult> resultsByAttempt = new LinkedHashMap<>();
  private final List<String> attemptsInFlight = new ArrayList<>();
  private long batch;

  void add(String group, OrderResult result) {
    resultsByAttempt.put(result.attempt(), new BufferedResult(group, result));
  }

  Optional<OrderResult> find(String attempt) {
    return Optional.ofNullable(resultsByAttempt.get(attempt)).map(BufferedResult::result);
  }

  int size() {
    return resultsByAttempt.size();
  }

  /** Tests whether results are waiting and no batch is in flight. */
  boolean canStartBatch() {
    return attemptsInFlight.isEmpty() && !resultsByAttempt.isEmpty();
  }

  /** Starts a batch with the oldest results. */
  OrderAction.CommitResults startBatch(int maxResults) {
    Map<String, List<OrderResult>> resultsByGroup = new HashMap<>();
    for (Map.Entry<String, BufferedResult> buffered : resultsByAttempt.entrySet()) {
      if (attemptsInFlight.size() == maxResults) {
        break;
      }
      attemptsInFlight.add(buffered.getKey());
      resultsByGroup
          .computeIfAbsent(buffered.getValue().group(), g -> new ArrayList<>())
          .add(buffered.getValue().result());
    }
    return new OrderAction.CommitResults(++batch, resultsByGroup);
  }

  /** Ends the batch in flight. Results that were not recorded stay for a later batch. */
  void endBatch(long endedBatch, boolean isRecorded) {
    if (endedBatch != batch) {
      return;
    }
    if (isRecorded) {
      attemptsInFlight.forEach(resultsByAttempt::remove);
    }
    attemptsInFlight.clear();
  }
}
