package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/** Tells crashes that may have a common cause from independent ones. */
final class OutageUtils {

  private OutageUtils() {}

  /**
   * Selects the crashes that are too far apart for a common cause.
   *
   * @param <T> the type of a crash
   * @param crashes the crashes in any order, not null
   * @param toNanos gets the time of a crash as a reading of one clock, not null
   * @param window the time from a crash in which others may have the same cause, not null
   * @return the crashes by time, without those within the window after a selected one, never null
   */
  static <T> List<T> selectIndependent(
      Collection<T> crashes, ToLongFunction<T> toNanos, Duration window) {
    List<T> selected = new ArrayList<>();
    long windowEndNanos = Long.MIN_VALUE;
    for (T crash : crashes.stream().sorted(Comparator.comparingLong(toNanos)).toList()) {
      long nanos = toNanos.applyAsLong(crash);
      if (selected.isEmpty() || nanos >= windowEndNanos) {
        selected.add(crash);
        windowEndNanos = nanos + window.toNanos();
      }
    }
    return selected;
  }
}
