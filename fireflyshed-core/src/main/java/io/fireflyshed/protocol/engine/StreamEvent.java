package io.fireflyshed.protocol.engine;

import java.util.Objects;

/**
 * Holds one event of an answer.
 *
 * @param offset the position of the event in the answer, in tokens from 0
 * @param data the JSON text of the event, empty for the end event, not null
 * @param isEnd whether the event says that the answer is complete
 */
public record StreamEvent(long offset, String data, boolean isEnd) {

  /** Checks the parts of the record. */
  public StreamEvent {
    Objects.requireNonNull(data, "data");
  }

  /**
   * Creates the event that says that the answer is complete.
   *
   * @param offset the number of events before it
   * @return the event, never null
   */
  public static StreamEvent ofEnd(long offset) {
    return new StreamEvent(offset, "", true);
  }
}
