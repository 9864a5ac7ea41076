package io.fireflyshed.transport.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock that advances from one scheduled event to the next. */
final class VirtualTime {

  private record Event(long timeNanos, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeNanos).thenComparing(Event::sequence));
  private long nowNanos;
  private long sequence;

  long nanoTime() {
    return nowNanos;
  }

  void schedule(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, sequence++, action));
  }

  /**
   * Runs all events that are due up to a time, in order of time, and sets the clock to that time.
   */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.timeNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }
}
