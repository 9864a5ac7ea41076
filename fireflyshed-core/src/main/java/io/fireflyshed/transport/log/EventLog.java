package io.fireflyshed.transport.log;

import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes a structured log line for each event of a component. Thread safe.
 *
 * <p>The text of the line states what happened, and its fields are pairs of a name and a value.
 */
public final class EventLog {

  /** Limits a value, in characters. */
  private static final int MAX_VALUE_LENGTH = 2000;

  private final Logger logger;

  /**
   * Creates a log.
   *
   * @param component the name of the component, a single word, which becomes part of the logger
   *     name, not null
   */
  public EventLog(String component) {
    logger =
        LoggerFactory.getLogger("io.fireflyshed." + Objects.requireNonNull(component, "component"));
  }

  /**
   * Logs an event at level INFO.
   *
   * @param event what happened, not null
   * @param fields alternately the name and the value of each field, not null
   */
  public void info(String event, Object... fields) {
    write(Level.INFO, event, fields);
  }

  /**
   * Logs an event that needs attention at level WARN.
   *
   * @param event what happened, not null
   * @param fields alternately the name and the value of each field, not null
   */
  public void warn(String event, Object... fields) {
    write(Level.WARN, event, fields);
  }

  /**
   * Logs an error and its cause at level ERROR.
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
      line = line.addKeyValue(String.valueOf(fields[i]), toText(fields[i + 1]));
    }
    line.log(event);
  }

  /** Converts a value to a text of limited length, since it may come from another system. */
  private static String toText(Object value) {
    String text = String.valueOf(value);
    return text.length() <= MAX_VALUE_LENGTH ? text : text.substring(0, MAX_VALUE_LENGTH) + "...";
  }
}
