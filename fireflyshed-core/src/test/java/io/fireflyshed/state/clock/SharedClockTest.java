package io.fireflyshed.state.clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link SharedClock}. */
public class SharedClockTest {

  private static final Duration ORIGIN = Duration.ofDays(3);

  private ManualClock clock;
  private SharedClock shared;

  /** Creates a clock without a reading. */
  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    shared = new SharedClock(clock);
  }

  /** Reads the shared time with the given times of the request and of the response. */
  private void read(Duration request, Duration response) {
    long sentNanos = clock.nanoTime();
    clock.advance(request);
    Duration time = ORIGIN.plusNanos(clock.nanoTime());
    clock.advance(response);
    shared.onRead(time, sentNanos, clock.nanoTime());
  }

  private Duration getError() {
    return Duration.ofNanos(shared.nanoTime() - clock.nanoTime()).minus(ORIGIN).abs();
  }

  @Test
  public void timeIsExactIfBothWaysTakeEquallyLong() {
    read(Duration.ofMillis(4), Duration.ofMillis(4));
    clock.advance(Duration.ofSeconds(30));
    assertEquals(getError(), Duration.ZERO);
  }

  @Test
  public void slowReadingDoesNotReplaceBetterOne() {
    read(Duration.ofMillis(4), Duration.ofMillis(2));
    read(Duration.ofMillis(1), Duration.ofMillis(900));
    assertTrue(getError().toMillis() <= 1, getError().toString());
  }

  @Test
  public void readingThatContradictsTheEstimateReplacesIt() {
    read(Duration.ofMillis(1), Duration.ofMillis(1));
    clock.advance(Duration.ofSeconds(10));
    shared.onRead(ORIGIN.minusHours(1), clock.nanoTime(), clock.nanoTime() + 5_000_000);
    assertTrue(getError().compareTo(Duration.ofMinutes(59)) > 0, getError().toString());
  }
}
