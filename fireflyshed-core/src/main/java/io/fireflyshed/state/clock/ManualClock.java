package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when it is told to, for tests and measurements. Thread safe. */
public final class ManualClock implements MonotonicClock {

  private final AtomicLong nanos = new AtomicLong();

  @Override
  public long nanoTime() {
    return nanos.get();
  }

  /**
   * Moves the clock forward.
   *
   * @param step how far, not negative, not null
   */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step must not be negative: " + step);
    }
    nanos.addAndGet(step.toNanos());
  }
}
