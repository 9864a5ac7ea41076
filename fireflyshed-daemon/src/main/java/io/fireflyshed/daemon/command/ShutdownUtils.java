package io.fireflyshed.daemon.command;

import java.util.concurrent.CountDownLatch;

/** Waits for the signal to stop. */
public final class ShutdownUtils {

  private ShutdownUtils() {}

  /**
   * Blocks until the process is told to stop; the action then runs before the process ends.
   *
   * @param action the action, not null
   * @throws InterruptedException if the thread is interrupted
   */
  public static void awaitStop(Runnable action) throws InterruptedException {
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
