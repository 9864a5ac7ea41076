package io.fireflyshed.daemon.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

/** Runs services until the signal to shut down. */
public final class ShutdownUtils {

  private ShutdownUtils() {}

  /**
   * Starts a service and blocks until the process receives a signal to shut down and the service
   * has stopped. A signal that arrives while the service starts is obeyed after the start.
   *
   * @param start starts the service, not null
   * @param stop stops the service before the process exits and is passed the time of the signal as
   *     a value of {@link System#nanoTime}; not called if the start failed, not null
   * @throws InterruptedException if the thread is interrupted
   */
  public static void runUntilShutdown(Runnable start, LongConsumer stop)
      throws InterruptedException {
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicBoolean isStarted = new AtomicBoolean();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  long signalNanos = System.nanoTime();
                  awaitUninterruptibly(started);
                  if (isStarted.get()) {
                    stop.accept(signalNanos);
                  }
                  stopped.countDown();
                },
                "shutdown"));
    try {
      start.run();
      isStarted.set(true);
    } finally {
      started.countDown();
    }
    stopped.await();
  }

  /** Waits for a latch on a thread that nothing interrupts. */
  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted while waiting for the start to end", e);
    }
  }
}
