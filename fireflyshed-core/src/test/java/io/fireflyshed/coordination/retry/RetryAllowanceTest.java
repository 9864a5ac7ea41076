package io.fireflyshed.coordination.retry;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link RetryAllowance}. */
public class RetryAllowanceTest {

  private static final double TOTAL = 240;
  private static final int ZONES = 3;
  private static final int ENTRIES = 20;
  private static final double SHARE = TOTAL / ZONES / ENTRIES;

  private RetryAllowance allowance;

  /** Creates an allowance with a settling time of 10 s and a maximum age of 25 s. */
  @BeforeMethod
  public void setUp() {
    allowance = new RetryAllowance(TOTAL, ZONES, Duration.ofSeconds(10), Duration.ofSeconds(25));
  }

  private static long seconds(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }

  private double get(int second) {
    return allowance.get(seconds(second));
  }

  @Test
  public void processThatIsNotRegisteredHasNoShare() {
    assertEquals(get(0), 0.0);
    allowance.onCounted(ENTRIES, seconds(20));
    assertEquals(get(20), 0.0);
  }

  @Test
  public void newProcessHasOnlyThePartThatOthersLeaveUnused() {
    allowance.onRegistered(seconds(0));
    allowance.onCounted(ENTRIES, seconds(9));
    double early = get(9);
    allowance.onCounted(ENTRIES, seconds(10));
    double settled = get(10);
    assertEquals(early + settled, SHARE);
    assertEquals(settled, 0.75 * SHARE);
  }

  @Test
  public void countThatIsTooOldGivesNoShare() {
    allowance.onRegistered(seconds(0));
    allowance.onCounted(ENTRIES, seconds(10));
    assertEquals(get(35), 0.75 * SHARE);
    assertEquals(get(36), 0.0);
  }

  @Test
  public void entryThatLostItsRegistrationSettlesAgain() {
    allowance.onRegistered(seconds(0));
    allowance.onCounted(0, seconds(30));
    assertEquals(get(30), 0.0);
    allowance.onRegistered(seconds(40));
    allowance.onCounted(ENTRIES, seconds(41));
    assertEquals(get(41), 0.25 * SHARE);
  }
}
