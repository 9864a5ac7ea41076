package io.fireflyshed.state.clock;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests {@link SuspendAwareClock}. */
public class SuspendAwareClockTest {

  private long nanos;
  private long wallMillis = 1_000_000;

  private void pass(Duration time) {
    nanos += time.toNanos();
    wallMillis += time.toMillis();
  }

  @Test
  public void suspensionCountsAsTime() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> wallMillis);
    long start = clock.nanoTime();
    pass(Duration.ofSeconds(2));
    wallMillis += 4000;
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(6).toNanos());
    pass(Duration.ofSeconds(1));
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(7).toNanos());
  }

  @Test
  public void wallClockThatGoesBackIsIgnored() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> wallMillis);
    long start = clock.nanoTime();
    wallMillis -= 2000;
    pass(Duration.ofSeconds(1));
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(1).toNanos());
    pass(Duration.ofSeconds(1));
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(2).toNanos());
  }

  @Test
  public void slowDriftIsIgnored() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> wallMillis);
    long start = clock.nanoTime();
    for (int i = 0; i < 100; i++) {
      pass(Duration.ofMillis(500));
      wallMillis += 5;
      clock.nanoTime();
    }
    assertEquals(clock.nanoTime() - start, Duration.ofSeconds(50).toNanos());
  }
}
