package io.fireflyshed.standins.engine;

import io.fireflyshed.coordination.routing.PrefixBlocks;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches prefixes of prompts in blocks and evicts the least recently used block. Not thread safe.
 *
 * <p>A block is identified by the hash of the prompt up to the end of the block.
 */
final class PrefixCache {

  /** The number of prompt tokens in a block. */
  static final int BLOCK_TOKENS = PrefixBlocks.BLOCK_TOKENS;

  private final int maxBlocks;
  private final List<CacheEvent> events = new ArrayList<>();
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  /** Caches all blocks of a prompt and returns how many of its tokens were cached before. */
  int cachePrompt(String prompt) {
    int cachedTokens = 0;
    boolean isPrefixCached = true;
    for (long block : PrefixBlocks.of(prompt)) {
      isPrefixCached = isPrefixCached && blocks.containsKey(block);
      cachedTokens += isPrefixCached ? BLOCK_TOKENS : 0;
      storeBlock(block);
    }
    return cachedTokens;
  }

  /** Gets the events after a sequence number, as far as they are kept. */
  List<CacheEvent> getEventsAfter(long sequence) {
    return events.stream().filter(event -> event.sequence() > sequence).toList();
  }

  /** Gets the number of cached tokens. */
  long getCachedTokens() {
    return (long) blocks.size() * BLOCK_TOKENS;
  }

  /** Evicts all blocks and drops all events without recording new ones. */
  void clear() {
    blocks.clear();
    events.clear();
  }

  private void storeBlock(long block) {
    if (maxBlocks == 0) {
      return;
    }
    if (blocks.put(block, Boolean.TRUE) == null) {
      addEvent(block, true);
    }
    if (blocks.size() > maxBlocks) {
      long evicted = blocks.keySet().iterator().next();
      blocks.remove(evicted);
      addEvent(evicted, false);
    }
  }

  private void addEvent(long block, boolean isStored) {
    long sequence = events.isEmpty() ? 1 : events.get(events.size() - 1).sequence() + 1;
    events.add(new CacheEvent(sequence, block, isStored));
    if (events.size() > 4 * maxBlocks) {
      events.subList(0, maxBlocks).clear();
    }
  }
}
