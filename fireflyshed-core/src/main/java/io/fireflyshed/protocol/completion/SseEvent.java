package io.fireflyshed.protocol.completion;

/**
 * Holds one server-sent event.
 *
 * @param id the id field, empty if absent, not null
 * @param name the event field, empty if absent, not null
 * @param data the data lines joined by line feeds, not null
 */
public record SseEvent(String id, String name, String data) {

  /** The data of the event that ends a complete stream. */
  public static final String DONE = "[DONE]";

  /** The media type of a stream of events. */
  public static final String MEDIA_TYPE = "text/event-stream";

  /**
   * Tests whether the event ends a complete stream.
   *
   * @return true for the end event
   */
  public boolean isDone() {
    return DONE.equals(data);
  }
}
