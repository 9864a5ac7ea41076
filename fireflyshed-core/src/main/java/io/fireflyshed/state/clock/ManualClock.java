package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that advances only on request, for tests and benchmarks. Thread safe. */
public final class ManualClock implements MonotonicClock {

  private final AtomicLong nanos = new AtomicLong();

  @Override
  public long nanoTime() {
    return nanos.get();
  }

  /**
   * Advances the clock.
   *
   * @param step the time by which to advance, not negative, not null
   */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step must not be negative: " + step);
    }
    nanos.addAndGet(step.toNanos());
  }
}
