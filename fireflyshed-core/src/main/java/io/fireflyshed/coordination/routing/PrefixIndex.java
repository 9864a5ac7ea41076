package io.fireflyshed.coordination.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which replicas probably have which prompt blocks in their cache. Not thread safe.
 *
 * <p>The index is updated from cache changes, which arrive late and with gaps, and from the
 * requests that this process sends. An eviction is ignored if it may have happened before the
 * latest request of this process for the same block. After a gap in the changes of a replica, a
 * block counts as cached there only if it was confirmed shortly before the gap or later. The index
 * is bounded and evicts the least recently used block. Replicas are identified by small numbers
 * that the caller assigns.
 */
final class PrefixIndex {

  private static final int MAX_HOLDERS = 32;
  private static final int MAX_CONSECUTIVE_MISSES = 4;
  private static final long NO_GAP = Long.MIN_VALUE;
  private static final long MAX_CHANGE_DELAY_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long MAX_AGE_BEFORE_GAP_NANOS = Duration.ofSeconds(120).toNanos();

  /** The replicas that have a block in their cache, with the times of the last confirmation. */
  private static final class BlockHolders {

    private int[] replicas = new int[1];
    private long[] confirmedNanos = new long[1];
    private int count;

    int indexOf(int replica) {
      for (int i = 0; i < count; i++) {
        if (replicas[i] == replica) {
          return i;
        }
      }
      return -1;
    }

    void confirm(int replica, long nowNanos) {
      int i = indexOf(replica);
      if (i < 0) {
        i = count < MAX_HOLDERS ? count++ : indexOfOldest();
        if (i >= replicas.length) {
          replicas = Arrays.copyOf(replicas, Math.min(MAX_HOLDERS, 2 * i));
          confirmedNanos = Arrays.copyOf(confirmedNanos, replicas.length);
        }
        replicas[i] = replica;
      }
      confirmedNanos[i] = nowNanos;
    }

    void removeAt(int i) {
      count--;
      replicas[i] = replicas[count];
      confirmedNanos[i] = confirmedNanos[count];
    }

    private int indexOfOldest() {
      int oldest = 0;
      for (int i = 1; i < count; i++) {
        oldest = confirmedNanos[i] - confirmedNanos[oldest] < 0 ? i : oldest;
      }
      return oldest;
    }
  }

  private final int maxBlocks;
  private final Map<Long, BlockHolders> holdersByBlock =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, BlockHolders> eldest) {
          return size() > maxBlocks;
        }
      };
  private long[] lastSequences = new long[0];
  private long[] lastGapNanos = new long[0];

  PrefixIndex(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  /** Ensures that replica numbers below a bound can be used. */
  void ensureCapacity(int bound) {
    if (bound > lastSequences.length) {
      int size = 2 * bound;
      lastSequences = Arrays.copyOf(lastSequences, size);
      int oldSize = lastGapNanos.length;
      lastGapNanos = Arrays.copyOf(lastGapNanos, size);
      Arrays.fill(lastGapNanos, oldSize, size, NO_GAP);
    }
  }

  /** Records that a request with these blocks was sent to a replica. */
  void recordRequest(int replica, long[] blocks, long nowNanos) {
    for (long block : blocks) {
      holdersByBlock.computeIfAbsent(block, b -> new BlockHolders()).confirm(replica, nowNanos);
    }
  }

  /** Records changes of the cache of a replica; changes that were recorded before are ignored. */
  void recordChanges(int replica, List<CacheChange> changes, long nowNanos) {
    long last = lastSequences[replica];
    for (CacheChange change : changes) {
      if (change.sequence() <= last) {
        continue;
      }
      if (change.sequence() > last + 1) {
        lastGapNanos[replica] = nowNanos;
      }
      last = change.sequence();
      applyChange(replica, change, nowNanos);
    }
    lastSequences[replica] = last;
  }

  /** Gets the sequence number of the last recorded change of a replica, 0 if there is none. */
  long getLastSequence(int replica) {
    return lastSequences[replica];
  }

  /**
   * Estimates how many leading blocks of a prompt each replica has in its cache.
   *
   * @return the numbers of blocks, indexed by replica number
   */
  int[] estimateCachedBlocks(long[] blocks) {
    int[] cachedBlocks = new int[lastSequences.length];
    int misses = 0;
    for (int i = 0; i < blocks.length && misses < MAX_CONSECUTIVE_MISSES; i++) {
      BlockHolders blockHolders = holdersByBlock.get(blocks[i]);
      misses = blockHolders == null ? misses + 1 : 0;
      for (int k = 0; blockHolders != null && k < blockHolders.count; k++) {
        if (isReliable(blockHolders.replicas[k], blockHolders.confirmedNanos[k])) {
          cachedBlocks[blockHolders.replicas[k]] = i + 1;
        }
      }
    }
    return cachedBlocks;
  }

  private boolean isReliable(int replica, long confirmedNanos) {
    long gapTimeNanos = lastGapNanos[replica];
    return gapTimeNanos == NO_GAP || gapTimeNanos - confirmedNanos < MAX_AGE_BEFORE_GAP_NANOS;
  }

  private void applyChange(int replica, CacheChange change, long nowNanos) {
    if (change.isStored()) {
      holdersByBlock
          .computeIfAbsent(change.block(), b -> new BlockHolders())
          .confirm(replica, nowNanos);
      return;
    }
    BlockHolders blockHolders = holdersByBlock.get(change.block());
    int i = blockHolders == null ? -1 : blockHolders.indexOf(replica);
    if (i >= 0 && nowNanos - blockHolders.confirmedNanos[i] > MAX_CHANGE_DELAY_NANOS) {
      blockHolders.removeAt(i);
    }
  }
}
