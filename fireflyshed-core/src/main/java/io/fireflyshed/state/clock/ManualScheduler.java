package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs scheduled tasks on the calling thread once a {@link ManualClock} reaches their time, for
 * tests and benchmarks. Not thread safe.
 */
public final class ManualScheduler extends AbstractExecutorService
    implements ScheduledExecutorService {

  /** Represents a task that is due at a reading of the clock. */
  private final class Task extends FutureTask<Object> implements ScheduledFuture<Object> {
    private final long dueNanos;

    Task(Runnable command, long dueNanos) {
      super(command, null);
      this.dueNanos = dueNanos;
    }

    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(dueNanos - clock.nanoTime(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
      return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
    }
  }

  private static final Duration STEP = Duration.ofMillis(1);

  private final ManualClock clock;
  private final Queue<Runnable> readyTasks = new ArrayDeque<>();
  private final List<Task> waitingTasks = new ArrayList<>();

  /**
   * Creates a scheduler without tasks.
   *
   * @param clock the clock, not null
   */
  public ManualScheduler(ManualClock clock) {
    this.clock = clock;
  }

  /** Runs all tasks that are due now, including those that they submit. */
  public void runDue() {
    while (true) {
      List<Task> due =
          waitingTasks.stream()
              .filter(t -> t.getDelay(TimeUnit.NANOSECONDS) <= 0)
              .sorted()
              .toList();
      waitingTasks.removeAll(due);
      readyTasks.addAll(due);
      Runnable next = readyTasks.poll();
      if (next == null) {
        return;
      }
      next.run();
    }
  }

  /**
   * Advances the clock in small steps and runs the tasks that become due.
   *
   * @param time the time by which to advance, not null
   */
  public void advance(Duration time) {
    for (long millis = 0; millis < time.toMillis(); millis++) {
      clock.advance(STEP);
      runDue();
    }
  }

  @Override
  public void execute(Runnable command) {
    readyTasks.add(command);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
    Task task = new Task(command, clock.nanoTime() + unit.toNanos(delay));
    waitingTasks.add(task);
    return task;
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable command, long initialDelay, long period, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable command, long initialDelay, long delay, TimeUnit unit) {
    // Cancelling the returned future cancels the first run only; no user of this class cancels it.
    return schedule(
        () -> {
          command.run();
          scheduleWithFixedDelay(command, delay, delay, unit);
        },
        initialDelay,
        unit);
  }

  @Override
  public void shutdown() {
    shutdownNow();
  }

  @Override
  public List<Runnable> shutdownNow() {
    Collection<Runnable> remaining = new ArrayList<>(readyTasks);
    readyTasks.clear();
    waitingTasks.clear();
    return List.copyOf(remaining);
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return true;
  }
}
