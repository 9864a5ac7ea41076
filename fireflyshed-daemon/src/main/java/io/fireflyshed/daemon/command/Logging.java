package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Configures the log. */
public final class Logging {

  private static final String PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex{short}";

  private Logging() {}

  /**
   * Sends log lines to the standard error stream.
   *
   * @param format the form of the lines, not null
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
