package io.fireflyshed.coordination.order;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches the final results of the orders that this process used most recently, so that a caller
 * that soon repeats a key causes no request to the table service. Not thread safe; owned by an
 * {@link OrderLedger}.
 */
final class RecentOrders {

  /** The final result of an order and the digest of its body. */
  record CachedResult(String digest, OrderResult result) {}

  private static final int MAX_RESULTS = 4096;

  private final Map<OrderKey, CachedResult> resultsByKey =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<OrderKey, CachedResult> eldest) {
          return size() > MAX_RESULTS;
        }
      };

  CachedResult get(OrderKey key) {
    return resultsByKey.get(key);
  }

  void put(OrderKey key, String digest, OrderResult result) {
    resultsByKey.put(key, new CachedResult(digest, result));
  }
}
