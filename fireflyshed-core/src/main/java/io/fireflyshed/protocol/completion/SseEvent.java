package io.fireflyshed.protocol.completion;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Holds one server-sent event.
 *
 * @param id the id field as a number, {@link #NO_ID} if it is absent or no number
 * @param name the event field, empty if absent, not null
 * @param data the data lines joined by line feeds, in UTF-8, not null; must not be changed
 */
public record SseEvent(long id, String name, ByteBuffer data) {

  /** The id of an event without one. */
  public static final long NO_ID = -1;

  /** The data of the event that ends a complete stream. */
  public static final String DONE = "[DONE]";

  /** The media type of a stream of events. */
  public static final String MEDIA_TYPE = "text/event-stream";

  private static final ByteBuffer DONE_BYTES =
      ByteBuffer.wrap(DONE.getBytes(StandardCharsets.UTF_8)).asReadOnlyBuffer();

  /** Checks the parts of the record. */
  public SseEvent {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(data, "data");
  }

  /**
   * Tests whether the event ends a complete stream.
   *
   * @return true for the end event
   */
  public boolean isDone() {
    return DONE_BYTES.equals(data);
  }

  /**
   * Gets the data as text.
   *
   * @return the text, never null
   */
  public String getText() {
    return StandardCharsets.UTF_8.decode(data.duplicate()).toString();
  }
}
