package io.fireflyshed.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of a virtual time. Not thread safe. */
public final class EventQueue {

  private record Event(long atNanos, long number, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private long nowNanos;
  private long nextNumber;

  /**
   * Gets the virtual time.
   *
   * @return nanoseconds since the start
   */
  public long getNow() {
    return nowNanos;
  }

  /**
   * Adds a task.
   *
   * @param atNanos when to run it, in virtual time
   * @param task the task, not null
   */
  public void at(long atNanos, Runnable task) {
    events.add(new Event(Math.max(atNanos, nowNanos), nextNumber++, task));
  }

  /**
   * Adds a task that runs after a delay.
   *
   * @param delayNanos the delay, 0 or more
   * @param task the task, not null
   */
  public void after(long delayNanos, Runnable task) {
    at(nowNanos + delayNanos, task);
  }

  /**
   * Runs all tasks up to a time.
   *
   * @param endNanos the last time to run
   */
  public void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.remove();
      nowNanos = event.atNanos();
      event.task().run();
    }
    nowNanos = endNanos;
  }
}
