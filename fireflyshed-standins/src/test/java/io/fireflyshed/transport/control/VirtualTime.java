package io.fireflyshed.transport.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of a clock that jumps from one to the next. */
final class VirtualTime {

  private record Event(long nanos, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparing(Event::sequence));
  private long nowNanos;
  private long sequence;

  long now() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, sequence++, action));
  }

  /** Runs the events until a moment. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().nanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.nanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }
}
