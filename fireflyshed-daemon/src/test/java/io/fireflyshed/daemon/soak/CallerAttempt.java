package io.fireflyshed.daemon.soak;

import java.time.Duration;

/**
 * An attempt of a request and its result.
 *
 * @param connection the caller's port and the number of the request on the connection, not null
 * @param left the time that the caller had left, not null
 * @param startNanos when the first byte was sent
 * @param sentNanos when the last byte was sent, 0 if the request was not sent whole
 * @param turnNanos when the answer before it on the connection had ended, 0 if there was none
 * @param endNanos when the answer ended
 */
record CallerAttempt(
    CallerRequest request,
    String id,
    EntryLife life,
    String connection,
    Duration left,
    long startNanos,
    long sentNanos,
    long turnNanos,
    CallerAnswer answer,
    long endNanos) {

  boolean isSentWhole() {
    return sentNanos != 0;
  }

  /** Gets from when the entry could answer the request. */
  long getDueNanos() {
    return turnNanos == 0 ? sentNanos : Math.max(turnNanos, sentNanos);
  }

  /** Tests whether the request was the next one on the connection of another. */
  boolean isNextOf(CallerAttempt other) {
    String[] own = connection.split("#");
    String[] others = other.connection.split("#");
    return own[0].equals(others[0]) && Integer.parseInt(own[1]) == Integer.parseInt(others[1]) + 1;
  }
}
