package io.fireflyshed.daemon.command;

/** Names the forms of log lines. */
public enum LogFormat {
  /** One line of text. */
  TEXT,
  /** One JSON object a line. */
  JSON
}
