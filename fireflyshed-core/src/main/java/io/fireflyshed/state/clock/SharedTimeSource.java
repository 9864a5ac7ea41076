package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Reads a clock that is the same for all processes of a deployment. Thread safe. */
@FunctionalInterface
public interface SharedTimeSource {

  /**
   * Reads the clock.
   *
   * @return the time since an origin that is the same for all processes, never null
   */
  CompletableFuture<Duration> readTime();
}
