package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import io.fireflyshed.state.clock.MonotonicClock;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the log lines of a second, so that a flood of requests doesn't become a flood of lines.
 * Warnings pass always. Thread safe.
 */
public final class LineBudgetFilter extends Filter<ILoggingEvent> {

  /** The lines of a second: a few for each request of an entry at its usual peak. */
  static final int LINES_PER_SECOND = 300;

  private final MonotonicClock clock;
  private long second;
  private int lines;
  private long leftOut;

  /**
   * Creates a filter.
   *
   * @param clock the clock of this process, not null
   */
  public LineBudgetFilter(MonotonicClock clock) {
    this.clock = clock;
  }

  @Override
  public synchronized FilterReply decide(ILoggingEvent event) {
    if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
      return FilterReply.NEUTRAL;
    }
    long now = TimeUnit.NANOSECONDS.toSeconds(clock.nanoTime());
    if (now != second) {
      second = now;
      lines = 0;
    }
    if (lines >= LINES_PER_SECOND) {
      leftOut++;
      return FilterReply.DENY;
    }
    lines++;
    return FilterReply.NEUTRAL;
  }

  /**
   * Gets the number of lines that were left out since the start.
   *
   * @return the number
   */
  public synchronized long getLeftOut() {
    return leftOut;
  }
}
