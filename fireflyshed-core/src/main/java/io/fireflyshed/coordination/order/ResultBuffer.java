package io.fireflyshed.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Keeps results until they are known to be recorded. Not thread safe; belongs to its ledger. */
final class ResultBuffer {

  /** A result and the group of its claim. */
  private record Entry(String group, OrderResult result) {}

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<String> inFlight = new ArrayList<>();
  private long batch;

  void add(String group, OrderResult result) {
    entries.put(result.attempt(), new Entry(group, result));
  }

  Optional<OrderResult> find(String attempt) {
    return Optional.ofNullable(entries.get(attempt)).map(Entry::result);
  }

  int size() {
    return entries.size();
  }

  boolean isReady() {
    return inFlight.isEmpty() && !entries.isEmpty();
  }

  /** Takes the oldest results into a new batch. */
  OrderAction.CommitResults take(int max) {
    Map<String, List<OrderResult>> byGroup = new HashMap<>();
    for (Map.Entry<String, Entry> e : entries.entrySet()) {
      if (inFlight.size() == max) {
        break;
      }
      inFlight.add(e.getKey());
      byGroup
          .computeIfAbsent(e.getValue().group(), g -> new ArrayList<>())
          .add(e.getValue().result());
    }
    return new OrderAction.CommitResults(++batch, byGroup);
  }

  /** Ends the batch in flight; its results are kept for another one if they were not recorded. */
  void end(long ended, boolean isRecorded) {
    if (ended != batch) {
      return;
    }
    if (isRecorded) {
      inFlight.forEach(entries::remove);
    }
    inFlight.clear();
  }
}
