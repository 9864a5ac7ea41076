package io.fireflyshed.protocol.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into whole events, unchanged. Not thread safe.
 *
 * <p>Unlike {@link io.fireflyshed.protocol.completion.SseDecoder} it keeps each byte, so that the
 * events can be passed on as they came. An event ends with an empty line; lines end with a line
 * feed, with or without a carriage return before it.
 */
public final class EventSplitter {

  /** The longest event that is accepted, in bytes. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_ID_DIGITS = 18;

  /**
   * One event as it came.
   *
   * @param bytes the bytes with the empty line at the end, not null
   * @param id the number in its id field, empty if it has none, not null
   */
  public record RawEvent(byte[] bytes, OptionalLong id) {}

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream(512);
  private boolean isLineEmpty = true;

  /**
   * Takes in the next bytes.
   *
   * @param bytes the bytes, not null
   * @return the events that they complete, in order, never null
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
      throw new IllegalArgumentException("an event of the stream is too long");
    }
    return events;
  }

  /**
   * Tests whether all bytes so far belong to whole events.
   *
   * @return true if no part of an event is held back
   */
  public boolean isBetweenEvents() {
    return partial.size() == 0;
  }

  private static RawEvent newEvent(byte[] bytes) {
    int line = 0;
    while (line < bytes.length) {
      int end = line;
      while (bytes[end] != '\n') {
        end++;
      }
      if (startsWith(bytes, line, ID_FIELD)) {
        return new RawEvent(bytes, parseId(bytes, line + ID_FIELD.length, end));
      }
      line = end + 1;
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
