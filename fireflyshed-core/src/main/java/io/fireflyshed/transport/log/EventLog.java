package io.fireflyshed.transport.log;

import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes one structured line for each decision of a part of the process. Thread safe.
 *
 * <p>Fields come as pairs of a name and a value. The line's text says what happened.
 */
public final class EventLog {

  private final Logger logger;

  /**
   * Creates a log.
   *
   * @param part the part of the process, a single word, not null
   */
  public EventLog(String part) {
    logger = LoggerFactory.getLogger("io.fireflyshed." + Objects.requireNonNull(part, "part"));
  }

  /**
   * Writes an ordinary line.
   *
   * @param event what happened, not null
   * @param fields names and values by turns, not null
   */
  public void info(String event, Object... fields) {
    write(Level.INFO, event, fields);
  }

  /**
   * Writes a line that needs attention.
   *
   * @param event what happened, not null
   * @param fields names and values by turns, not null
   */
  public void warn(String event, Object... fields) {
    write(Level.WARN, event, fields);
  }

  /**
   * Writes a line on an error with its cause.
   *
   * @param event what happened, not null
   * @param cause the cause, not null
   */
  public void error(String event, Throwable cause) {
    logger.atError().setCause(cause).log(event);
  }

  private void write(Level level, String event, Object... fields) {
    if (fields.length % 2 != 0) {
      throw new IllegalArgumentException("fields must be pairs of a name and a value");
    }
    LoggingEventBuilder line = logger.atLevel(level);
    for (int i = 0; i < fields.length; i += 2) {
      line = line.addKeyValue(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
    }
    line.log(event);
  }
}
