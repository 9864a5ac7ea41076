package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import io.fireflyshed.state.clock.MonotonicClock;
import java.util.concurrent.TimeUnit;

/**
 * Limits the log lines per second, so that a flood of requests does not flood the log. Warnings and
 * errors always pass. Thread safe.
 */
public final class LogRateLimitFilter extends Filter<ILoggingEvent> {

  /** The maximum number of lines per second, a few for each request of an entry at usual peak. */
  static final int MAX_LINES_PER_SECOND = 300;

  private final MonotonicClock clock;
  private long currentSecond;
  private int lines;
  private long dropped;

  /**
   * Creates a filter.
   *
   * @param clock the clock of this process, not null
   */
  public LogRateLimitFilter(MonotonicClock clock) {
    this.clock = clock;
  }

  @Override
  public synchronized FilterReply decide(ILoggingEvent event) {
    if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
      return FilterReply.NEUTRAL;
    }
    long now = TimeUnit.NANOSECONDS.toSeconds(clock.nanoTime());
    if (now != currentSecond) {
      currentSecond = now;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND) {
      dropped++;
      return FilterReply.DENY;
    }
    lines++;
    return FilterReply.NEUTRAL;
  }

  /**
   * Returns the number of lines that were dropped since the start.
   *
   * @return the number of lines, 0 or more
   */
  public synchronized long getDropped() {
    return dropped;
  }
}
