package io.fireflyshed.standins.engine;

import io.fireflyshed.coordination.routing.PrefixBlocks;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches prompt prefixes in blocks and forgets the least recently used block. Not thread safe.
 *
 * <p>Each block is identified by the hash of the prompt up to its end.
 */
final class PrefixCache {

  /** The number of prompt tokens in a block. */
  static final int BLOCK_TOKENS = PrefixBlocks.BLOCK_TOKENS;

  private final int capacity;
  private final List<CacheEvent> events = new ArrayList<>();
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Stores all blocks of a prompt and gets the number of its tokens that were cached before. */
  int use(String prompt) {
    int cached = 0;
    boolean isPrefixCached = true;
    for (long block : PrefixBlocks.of(prompt)) {
      isPrefixCached = isPrefixCached && blocks.containsKey(block);
      cached += isPrefixCached ? BLOCK_TOKENS : 0;
      put(block);
    }
    return cached;
  }

  /** Gets the events after a sequence number. */
  List<CacheEvent> getEventsAfter(long sequence) {
    return events.stream().filter(e -> e.sequence() > sequence).toList();
  }

  /** Gets the number of cached tokens. */
  long getCachedTokens() {
    return (long) blocks.size() * BLOCK_TOKENS;
  }

  /** Forgets everything. */
  void clear() {
    blocks.clear();
    events.clear();
  }

  private void put(long hash) {
    if (capacity == 0) {
      return;
    }
    if (blocks.put(hash, Boolean.TRUE) == null) {
      addEvent(hash, true);
    }
    if (blocks.size() > capacity) {
      long oldest = blocks.keySet().iterator().next();
      blocks.remove(oldest);
      addEvent(oldest, false);
    }
  }

  private void addEvent(long hash, boolean isStored) {
    long sequence = events.isEmpty() ? 1 : events.get(events.size() - 1).sequence() + 1;
    events.add(new CacheEvent(sequence, hash, isStored));
    if (events.size() > 4 * capacity) {
      events.subList(0, capacity).clear();
    }
  }
}
