package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Counts how common the parts of prompts are among the requests that targets ran.
 *
 * <p>A part that nearly all requests have in common was present in each crash, whatever its cause.
 * Counts are kept by the service and forgotten once the part, or the service, had no success for a
 * while. The parts that succeeded least recently are dropped first, so a common one stays. Not
 * thread safe.
 */
final class PartFrequencies {

  /** The number of successes and the time of the last one. */
  private static final class Count {
    private long successes;
    private long lastNanos;

    void add(long nowNanos, Duration memory) {
      if (!isRecent(nowNanos, memory)) {
        successes = 0;
      }
      successes++;
      lastNanos = nowNanos;
    }

    boolean isRecent(long nowNanos, Duration memory) {
      return nowNanos - lastNanos < memory.toNanos();
    }
  }

  /** A map that drops the entry whose last access is the longest ago beyond its capacity. */
  private static final class RecentParts extends LinkedHashMap<CrashFingerprint, Count> {
    private static final long serialVersionUID = 1L;
    private final int capacity;

    RecentParts(int capacity) {
      super(16, 0.75f, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<CrashFingerprint, Count> eldest) {
      return size() > capacity;
    }
  }

  private final Duration memory;
  private final Map<CrashFingerprint, Count> parts;
  private final Map<String, Count> services = new HashMap<>();

  /**
   * Creates empty counts.
   *
   * @param memory the time without a success after which a count is forgotten, not null
   * @param maxParts the maximum number of parts that are counted, positive
   */
  PartFrequencies(Duration memory, int maxParts) {
    this.memory = Objects.requireNonNull(memory, "memory");
    this.parts = new RecentParts(maxParts);
  }

  /**
   * Records that a request succeeded.
   *
   * @param present the parts of its prompt, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  void recordSuccess(Set<CrashFingerprint> present, long nowNanos) {
    present.stream()
        .map(CrashFingerprint::getService)
        .distinct()
        .forEach(s -> services.computeIfAbsent(s, n -> new Count()).add(nowNanos, memory));
    present.forEach(p -> parts.computeIfAbsent(p, n -> new Count()).add(nowNanos, memory));
  }

  /**
   * Gets the share of the successful requests of its service that had a part.
   *
   * @param part the part, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the share, 0 to 1, 0 if no success of it is remembered
   */
  double getShare(CrashFingerprint part, long nowNanos) {
    Count count = parts.get(part);
    if (count == null || !count.isRecent(nowNanos, memory)) {
      return 0;
    }
    return (double) count.successes / services.get(part.getService()).successes;
  }
}
