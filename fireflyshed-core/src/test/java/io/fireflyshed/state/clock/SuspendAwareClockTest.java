package io.fireflyshed.state.clock;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests {@link SuspendAwareClock}. */
public class SuspendAwareClockTest {

  private long nanos;
  private long wallMillis = 1_000_000;

  private void advance(Duration time) {
    nanos += time.toNanos();
    wallMillis += time.toMillis();
  }

  @Test
  public void countsSuspendedTime() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> wallMillis);
    long start = clock.nanoTime();
    advance(Duration.ofSeconds(2));
    wallMillis += 4000;
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(6).toNanos());
    advance(Duration.ofSeconds(1));
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(7).toNanos());
  }

  @Test
  public void ignoresBackwardStepOfWallClock() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> wallMillis);
    long start = clock.nanoTime();
    wallMillis -= 2000;
    advance(Duration.ofSeconds(1));
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(1).toNanos());
    advance(Duration.ofSeconds(1));
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(2).toNanos());
  }

  @Test
  public void ignoresSlowDriftOfWallClock() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> wallMillis);
    long start = clock.nanoTime();
    for (int i = 0; i < 100; i++) {
      advance(Duration.ofMillis(500));
      wallMillis += 5;
      clock.nanoTime();
    }
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(50).toNanos());
  }
}
