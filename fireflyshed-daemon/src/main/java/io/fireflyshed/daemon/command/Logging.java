package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import io.fireflyshed.state.clock.MonotonicClock;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;
import org.slf4j.LoggerFactory;

/** Configures logging. */
public final class Logging {

  private static final String PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex{short}";

  /** The maximum number of lines queued for the output stream; further lines are dropped. */
  private static final int EVENT_QUEUE_SIZE = 2048;

  private Logging() {}

  /**
   * Configures logging to the standard error stream.
   *
   * @param format the format of the lines, not null
   * @param level the lowest level to log, not null
   */
  public static void configure(LogFormat format, Level level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder = newEncoder(format, context);
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    context.getLogger("io.fireflyshed").setLevel(level);
  }

  /**
   * Configures structured logging to the standard output stream. A caller never waits for the
   * stream; lines above the rate limit are dropped and counted.
   */
  public static void configureEvents() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(newEventEncoder(context));
    console.start();
    AsyncAppender appender = new AsyncAppender();
    appender.setContext(context);
    appender.setQueueSize(EVENT_QUEUE_SIZE);
    appender.setDiscardingThreshold(0);
    appender.setNeverBlock(true);
    appender.addAppender(console);
    LogRateLimitFilter rateLimit = new LogRateLimitFilter(MonotonicClock.system());
    rateLimit.start();
    appender.addFilter(rateLimit);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    context.getLogger("io.fireflyshed").setLevel(Level.INFO);
  }

  private static Encoder<ILoggingEvent> newEventEncoder(LoggerContext context) {
    LogstashFieldNames names = new LogstashFieldNames();
    names.setTimestamp("time");
    names.setMessage("event");
    names.setLogger("part");
    names.setVersion(null);
    names.setLevelValue(null);
    names.setThread(null);
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setFieldNames(names);
    encoder.setShortenedLoggerNameLength(1);
    encoder.start();
    return encoder;
  }

  private static Encoder<ILoggingEvent> newEncoder(LogFormat format, LoggerContext context) {
    if (format == LogFormat.JSON) {
      LogstashEncoder encoder = new LogstashEncoder();
      encoder.setContext(context);
      encoder.start();
      return encoder;
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    return encoder;
  }
}
