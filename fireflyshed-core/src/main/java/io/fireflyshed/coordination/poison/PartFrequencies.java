package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Counts how common the parts of prompts are among the requests that targets ran.
 *
 * <p>A part that nearly all requests of a model have in common was present in each crash of its
 * targets, whatever the cause. Counts are kept by service and model, as a model may have a small
 * part of the requests of its service. They are forgotten once there was no success for a while.
 * The parts that succeeded least recently are dropped first, so a common one stays. Not thread
 * safe.
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

  /** Identifies the requests that the same targets run. */
  private record Pool(String service, String model) {}

  /** A map that drops the entry whose last access is the longest ago beyond its capacity. */
  private static final class RecentParts extends LinkedHashMap<CrashFingerprint, Map<Pool, Count>> {
    private static final long serialVersionUID = 1L;
    private final int capacity;

    RecentParts(int capacity) {
      super(16, 0.75f, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<CrashFingerprint, Map<Pool, Count>> eldest) {
      return size() > capacity;
    }
  }

  private final Duration memory;
  private final Map<CrashFingerprint, Map<Pool, Count>> parts;
  private final Map<Pool, Count> totals = new HashMap<>();

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
   * @param request the fingerprints of the request, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  void recordSuccess(RequestFingerprints request, long nowNanos) {
    request.parts().stream()
        .map(part -> getPool(part, request))
        .distinct()
        .forEach(pool -> add(totals, pool, nowNanos));
    request
        .parts()
        .forEach(
            part ->
                add(
                    parts.computeIfAbsent(part, p -> new HashMap<>()),
                    getPool(part, request),
                    nowNanos));
  }

  private static Pool getPool(CrashFingerprint part, RequestFingerprints request) {
    return new Pool(part.getService(), request.pool());
  }

  private void add(Map<Pool, Count> counts, Pool pool, long nowNanos) {
    counts.computeIfAbsent(pool, p -> new Count()).add(nowNanos, memory);
  }

  /**
   * Gets the largest share that a part had of the successful requests of a model.
   *
   * @param part the part, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the share, 0 to 1, 0 if no success of it is remembered
   */
  double getShare(CrashFingerprint part, long nowNanos) {
    return parts.getOrDefault(part, Map.of()).entrySet().stream()
        .filter(entry -> entry.getValue().isRecent(nowNanos, memory))
        .mapToDouble(
            entry -> (double) entry.getValue().successes / totals.get(entry.getKey()).successes)
        .max()
        .orElse(0);
  }
}
