package io.fireflyshed.protocol.completion;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A server-sent event.
 *
 * @param id the id field as a number, {@link #NO_ID} if the field is absent or not a number
 * @param name the event field, empty if the field is absent, not null
 * @param data the data lines joined by line feeds, in UTF-8, not null; must not be modified
 */
public record SseEvent(long id, String name, ByteBuffer data) {

  /** The id of an event that has none. */
  public static final long NO_ID = -1;

  /** The data of the end marker, the last event of a complete stream. */
  public static final String DONE = "[DONE]";

  /** The media type of an event stream. */
  public static final String MEDIA_TYPE = "text/event-stream";

  private static final ByteBuffer DONE_BYTES =
      ByteBuffer.wrap(DONE.getBytes(StandardCharsets.UTF_8)).asReadOnlyBuffer();

  /** Validates the components. */
  public SseEvent {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(data, "data");
  }

  /**
   * Tests whether the event is the end marker of a stream.
   *
   * @return true if the event is the end marker
   */
  public boolean isDone() {
    return DONE_BYTES.equals(data);
  }

  /**
   * Returns the data as text.
   *
   * @return the text, never null
   */
  public String getText() {
    return StandardCharsets.UTF_8.decode(data.duplicate()).toString();
  }
}
