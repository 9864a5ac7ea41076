package io.fireflyshed.daemon.command;

import java.util.concurrent.CountDownLatch;

/** Waits for the signal to shut down. */
public final class ShutdownUtils {

  private ShutdownUtils() {}

  /**
   * Blocks until the process receives a signal to shut down and the action has run.
   *
   * @param action runs before the process exits, not null
   * @throws InterruptedException if the thread is interrupted
   */
  public static void awaitShutdown(Runnable action) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  action.run();
                  stopped.countDown();
                },
                "shutdown"));
    stopped.await();
  }
}
