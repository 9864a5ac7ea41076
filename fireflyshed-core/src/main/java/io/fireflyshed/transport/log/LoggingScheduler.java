package io.fireflyshed.transport.log;

import java.util.Objects;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * Runs tasks on one thread and logs the errors of tasks whose result nobody reads. An error in one
 * task does not keep others from running.
 */
public final class LoggingScheduler extends ScheduledThreadPoolExecutor {

  private final EventLog log;

  /**
   * Creates a scheduler, whose thread starts with the first task.
   *
   * @param name the name of the thread and of the log, a single word, not null
   */
  public LoggingScheduler(String name) {
    super(1, task -> new Thread(task, name));
    log = new EventLog(Objects.requireNonNull(name, "name"));
  }

  @Override
  protected void afterExecute(Runnable task, Throwable thrown) {
    super.afterExecute(task, thrown);
    Throwable error = thrown == null ? getError(task) : thrown;
    if (error != null) {
      log.error("task failed", error);
    }
  }

  private static Throwable getError(Runnable task) {
    // A periodic task that goes on is not done, and its result would never come.
    if (!(task instanceof Future<?> future) || !future.isDone()) {
      return null;
    }
    try {
      future.get();
      return null;
    } catch (CancellationException e) {
      return null;
    } catch (ExecutionException e) {
      return e.getCause();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }
}
