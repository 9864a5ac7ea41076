package io.fireflyshed.daemon.command;

/** The formats of log lines. */
public enum LogFormat {
  /** One line of text per event. */
  TEXT,
  /** One JSON object per line. */
  JSON
}
