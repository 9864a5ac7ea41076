package io.fireflyshed.coordination.cost;

import io.fireflyshed.state.instance.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Holds what this entry's requests still have to do at each target. Sums are kept in whole
 * microseconds and tokens, so that they are exactly 0 once all requests have ended. Not thread
 * safe.
 */
final class TargetWork {

  private static final double MICROS_PER_MILLI = 1000;

  /**
   * The part of what a stream delivered that is still expected when it is longer than predicted.
   */
  private static final double OVERRUN_FRACTION = 0.2;

  /** Holds the sums of a target. */
  static final class Sums {
    private int runs;
    private long prefillMicros;
    private long decodeMicros;
    private long memoryTokens;

    int getRuns() {
      return runs;
    }

    double getPrefillMillis() {
      return prefillMicros / MICROS_PER_MILLI;
    }

    double getWorkMillis() {
      return (prefillMicros + decodeMicros) / MICROS_PER_MILLI;
    }

    long getMemoryTokens() {
      return memoryTokens;
    }
  }

  /** The work of one attempt, which is part of the sums until it ends. */
  static final class Item {
    private final Sums sums;
    private final WorkEstimate estimate;
    private long prefillMicros;
    private long decodeMicros;
    private final long memoryTokens;
    private final double tokensBefore;
    private boolean isEnded;

    private Item(Sums sums, WorkEstimate estimate, double tokensBefore) {
      this.sums = sums;
      this.estimate = estimate;
      this.memoryTokens = Math.round(estimate.memoryTokens());
      sums.runs++;
      sums.memoryTokens += memoryTokens;
      double mostBefore = estimate.steps() * (1 - OVERRUN_FRACTION);
      this.tokensBefore = Math.max(0, Math.min(tokensBefore, mostBefore));
      double rest = Math.max(1, estimate.steps() - this.tokensBefore);
      set(toMicros(estimate.prefillMillis()), toMicros(rest * estimate.stepMillis()));
    }

    private void set(long newPrefillMicros, long newDecodeMicros) {
      sums.prefillMicros += newPrefillMicros - prefillMicros;
      sums.decodeMicros += newDecodeMicros - decodeMicros;
      prefillMicros = newPrefillMicros;
      decodeMicros = newDecodeMicros;
    }

    /** Records how many tokens the target delivered, which shows that the prompt was read. */
    void onTokens(double newTokens) {
      if (!isEnded) {
        double delivered = tokensBefore + newTokens;
        double rest = Math.max(estimate.steps() - delivered, delivered * OVERRUN_FRACTION);
        set(0, toMicros(Math.max(1, rest) * estimate.stepMillis()));
      }
    }

    /** Takes the rest out of the sums; only the first call does. */
    void end() {
      if (!isEnded) {
        isEnded = true;
        set(0, 0);
        sums.runs--;
        sums.memoryTokens -= memoryTokens;
      }
    }
  }

  private static final Sums NONE = new Sums();

  private final Map<InstanceId, Sums> sums = new HashMap<>();

  /** Returns the sums of a target, to be read only. */
  Sums get(InstanceId target) {
    return sums.getOrDefault(target, NONE);
  }

  /**
   * Adds the work of an attempt.
   *
   * @param tokensBefore the tokens that the target won't deliver, since a stream goes on after them
   */
  Item start(InstanceId target, WorkEstimate estimate, double tokensBefore) {
    return new Item(sums.computeIfAbsent(target, t -> new Sums()), estimate, tokensBefore);
  }

  /** Removes the targets that no longer exist and have no requests. */
  void retain(Set<InstanceId> listed) {
    sums.entrySet().removeIf(e -> e.getValue().runs == 0 && !listed.contains(e.getKey()));
  }

  private static long toMicros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }
}
