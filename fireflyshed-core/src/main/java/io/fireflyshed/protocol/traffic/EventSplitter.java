package io.fireflyshed.protocol.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits an event stream into complete events without changing their bytes. Not thread safe.
 *
 * <p>Unlike {@link io.fireflyshed.protocol.completion.SseDecoder}, it preserves every byte, so that
 * the events can be forwarded as they were received. An event ends with an empty line. A line ends
 * with a line feed, optionally preceded by a carriage return.
 */
public final class EventSplitter {

  /** The maximum length of an event, in bytes. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_ID_DIGITS = 18;

  /**
   * An event as it was received.
   *
   * @param bytes the bytes of the event, including the empty line at its end, not null
   * @param id the number in the id field, empty if the event has none, not null
   */
  public record RawEvent(byte[] bytes, OptionalLong id) {

    /**
     * Tests whether the event has only empty lines and comments, which a sender may use to keep a
     * connection open.
     *
     * @return true if the event has no field
     */
    public boolean isBlank() {
      boolean isLineStart = true;
      for (byte b : bytes) {
        if (isLineStart && b != ':' && b != '\n' && b != '\r') {
          return false;
        }
        isLineStart = b == '\n' || isLineStart && b == '\r';
      }
      return true;
    }
  }

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream(512);
  private boolean isLineEmpty = true;

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes the bytes, not null
   * @return the events that these bytes complete, in order, never null
   * @throws IllegalArgumentException if an event is longer than {@link #MAX_EVENT_BYTES}
   */
  public List<RawEvent> split(byte[] bytes) {
    List<RawEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        if (isLineEmpty) {
          partial.write(bytes, start, i + 1 - start);
          events.add(newEvent(partial.toByteArray()));
          partial.reset();
          start = i + 1;
        }
        isLineEmpty = true;
      } else if (bytes[i] != '\r') {
        isLineEmpty = false;
      }
    }
    partial.write(bytes, start, bytes.length - start);
    if (partial.size() > MAX_EVENT_BYTES) {
      throw new IllegalArgumentException("an event of the stream exceeds the maximum length");
    }
    return events;
  }

  /**
   * Tests whether all bytes so far belong to complete events.
   *
   * @return true if no incomplete event is buffered
   */
  public boolean isBetweenEvents() {
    return partial.size() == 0;
  }

  /**
   * Gets the number of bytes that are held of an event that isn't complete.
   *
   * @return the bytes, 0 between events
   */
  public int getHeldBytes() {
    return partial.size();
  }

  private static RawEvent newEvent(byte[] bytes) {
    int lineStart = 0;
    while (lineStart < bytes.length) {
      int lineEnd = lineStart;
      while (bytes[lineEnd] != '\n') {
        lineEnd++;
      }
      if (startsWith(bytes, lineStart, ID_FIELD)) {
        return new RawEvent(bytes, parseId(bytes, lineStart + ID_FIELD.length, lineEnd));
      }
      lineStart = lineEnd + 1;
    }
    return new RawEvent(bytes, OptionalLong.empty());
  }

  private static boolean startsWith(byte[] bytes, int from, byte[] prefix) {
    if (from + prefix.length > bytes.length) {
      return false;
    }
    for (int i = 0; i < prefix.length; i++) {
      if (bytes[from + i] != prefix[i]) {
        return false;
      }
    }
    return true;
  }

  private static OptionalLong parseId(byte[] bytes, int from, int to) {
    String text = new String(bytes, from, to - from, StandardCharsets.US_ASCII).trim();
    boolean isNumber =
        !text.isEmpty()
            && text.length() <= MAX_ID_DIGITS
            && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return isNumber ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
  }
}
