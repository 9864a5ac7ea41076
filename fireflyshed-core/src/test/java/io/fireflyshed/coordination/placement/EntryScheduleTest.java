package io.fireflyshed.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which positions {@link EntrySchedule} takes as agreed among the entries. */
public class EntryScheduleTest {

  private ManualClock clock;
  private EntrySchedule schedule;

  /** Creates a schedule of an entry that knows neither its position nor the time. */
  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    schedule = new EntrySchedule(1, 3, new SharedClock(clock));
  }

  private void readTime() {
    schedule.onTimeRead(Duration.ofDays(9), clock.nanoTime(), clock.nanoTime());
  }

  private boolean isAgreed() {
    return schedule.getAgreedPosition().isPresent();
  }

  @Test
  public void positionOfANewEntryIsAgreedAfterAWhile() {
    schedule.setRank(0, 2);
    clock.advance(Duration.ofSeconds(12));
    assertFalse(isAgreed());
    readTime();
    assertFalse(isAgreed());
    clock.advance(Duration.ofSeconds(12));
    assertTrue(isAgreed());
    schedule.setRank(1, 3);
    assertTrue(isAgreed());
  }

  @Test
  public void entryWithoutAPositionHasNoAgreedOne() {
    readTime();
    clock.advance(Duration.ofSeconds(20));
    assertFalse(isAgreed());
    schedule.setRank(0, 1);
    assertFalse(isAgreed());
  }

  @Test
  public void longerPeriodIsKeptUntilAllEntriesKnowTheShorterOne() {
    schedule.setRank(4, 10);
    readTime();
    assertEquals(schedule.getLongestPeriod(), 30);
    schedule.setRank(4, 11);
    assertEquals(schedule.getLongestPeriod(), 33);
    schedule.setRank(4, 9);
    clock.advance(Duration.ofMillis(11_999));
    schedule.setRank(4, 9);
    assertEquals(schedule.getLongestPeriod(), 33);
    clock.advance(Duration.ofMillis(1));
    assertEquals(schedule.getLongestPeriod(), 27);
    schedule.setRank(4, 9);
    assertEquals(schedule.getLongestPeriod(), 27);
  }
}
