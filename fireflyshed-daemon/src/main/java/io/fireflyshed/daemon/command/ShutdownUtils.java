package io.fireflyshed.daemon.command;

import java.util.concurrent.CountDownLatch;

/** Waits for the signal to stop. */
final class ShutdownUtils {

  private ShutdownUtils() {}

  /** Blocks until the process is told to stop; the action then runs before the process ends. */
  static void awaitStop(Runnable action) throws InterruptedException {
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
