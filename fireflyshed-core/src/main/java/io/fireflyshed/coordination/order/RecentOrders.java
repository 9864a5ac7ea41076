package io.fireflyshed.coordination.order;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the final results of the orders that this process saw last, so that a caller that
 * repeats a key soon costs no request to the store. Not thread safe; belongs to its ledger.
 */
final class RecentOrders {

  /** The final result of an order and the digest of its body. */
  record Entry(String digest, OrderResult result) {}

  private static final int MAX_ENTRIES = 4096;

  private final Map<OrderKey, Entry> entries =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<OrderKey, Entry> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  Entry get(OrderKey key) {
    return entries.get(key);
  }

  void put(OrderKey key, String digest, OrderResult result) {
    entries.put(key, new Entry(digest, result));
  }
}
