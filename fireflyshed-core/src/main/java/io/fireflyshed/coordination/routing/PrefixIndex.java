package io.fireflyshed.coordination.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps which replicas probably hold which blocks of prompts. Not thread safe.
 *
 * <p>It learns from cache changes, which are late and have gaps, and from the requests that this
 * process sent. An eviction that may be older than an own request on the same block is ignored.
 * After a gap a holder counts only if it was confirmed a short time before the gap or later. The
 * index is bounded and forgets the block that was used least recently. Replicas are named by small
 * numbers that the caller assigns.
 */
final class PrefixIndex {

  private static final int MAX_HOLDERS = 32;
  private static final int MAX_MISSES = 4;
  private static final long NO_GAP = Long.MIN_VALUE;
  private static final long EVENT_LAG_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long TRUST_BEFORE_GAP_NANOS = Duration.ofSeconds(120).toNanos();

  /** The replicas that hold a block and when that was last confirmed. */
  private static final class Holders {

    private int[] replicas = new int[1];
    private long[] confirmedNanos = new long[1];
    private int count;

    int find(int replica) {
      for (int i = 0; i < count; i++) {
        if (replicas[i] == replica) {
          return i;
        }
      }
      return -1;
    }

    void put(int replica, long nowNanos) {
      int i = find(replica);
      if (i < 0) {
        i = count < MAX_HOLDERS ? count++ : findOldest();
        if (i >= replicas.length) {
          replicas = Arrays.copyOf(replicas, Math.min(MAX_HOLDERS, 2 * i));
          confirmedNanos = Arrays.copyOf(confirmedNanos, replicas.length);
        }
        replicas[i] = replica;
      }
      confirmedNanos[i] = nowNanos;
    }

    void remove(int i) {
      count--;
      replicas[i] = replicas[count];
      confirmedNanos[i] = confirmedNanos[count];
    }

    private int findOldest() {
      int oldest = 0;
      for (int i = 1; i < count; i++) {
        oldest = confirmedNanos[i] - confirmedNanos[oldest] < 0 ? i : oldest;
      }
      return oldest;
    }
  }

  private final int maxBlocks;
  private final Map<Long, Holders> holders =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
          return size() > maxBlocks;
        }
      };
  private long[] lastSequences = new long[0];
  private long[] gapNanos = new long[0];

  PrefixIndex(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  /** Makes room for the numbers of replicas below a bound. */
  void setReplicas(int bound) {
    if (bound > lastSequences.length) {
      int size = 2 * bound;
      lastSequences = Arrays.copyOf(lastSequences, size);
      int known = gapNanos.length;
      gapNanos = Arrays.copyOf(gapNanos, size);
      Arrays.fill(gapNanos, known, size, NO_GAP);
    }
  }

  /** Takes in that a request with these blocks was sent to a replica. */
  void onSent(int replica, long[] blocks, long nowNanos) {
    for (long block : blocks) {
      holders.computeIfAbsent(block, b -> new Holders()).put(replica, nowNanos);
    }
  }

  /** Takes in changes of the cache of a replica; repeated ones are ignored. */
  void onChanges(int replica, List<CacheChange> changes, long nowNanos) {
    long last = lastSequences[replica];
    for (CacheChange change : changes) {
      if (change.sequence() <= last) {
        continue;
      }
      if (change.sequence() > last + 1) {
        gapNanos[replica] = nowNanos;
      }
      last = change.sequence();
      apply(replica, change, nowNanos);
    }
    lastSequences[replica] = last;
  }

  /** Gets the sequence number of the last change that was taken in. */
  long getLastSequence(int replica) {
    return lastSequences[replica];
  }

  /** Gets for each replica how many leading blocks it probably holds. */
  int[] find(long[] blocks) {
    int[] depths = new int[lastSequences.length];
    int misses = 0;
    for (int i = 0; i < blocks.length && misses < MAX_MISSES; i++) {
      Holders found = holders.get(blocks[i]);
      misses = found == null ? misses + 1 : 0;
      for (int k = 0; found != null && k < found.count; k++) {
        if (isTrusted(found.replicas[k], found.confirmedNanos[k])) {
          depths[found.replicas[k]] = i + 1;
        }
      }
    }
    return depths;
  }

  private boolean isTrusted(int replica, long confirmedNanos) {
    long gap = gapNanos[replica];
    return gap == NO_GAP || gap - confirmedNanos < TRUST_BEFORE_GAP_NANOS;
  }

  private void apply(int replica, CacheChange change, long nowNanos) {
    if (change.isStored()) {
      holders.computeIfAbsent(change.block(), b -> new Holders()).put(replica, nowNanos);
      return;
    }
    Holders found = holders.get(change.block());
    int i = found == null ? -1 : found.find(replica);
    if (i >= 0 && nowNanos - found.confirmedNanos[i] > EVENT_LAG_NANOS) {
      found.remove(i);
    }
  }
}
