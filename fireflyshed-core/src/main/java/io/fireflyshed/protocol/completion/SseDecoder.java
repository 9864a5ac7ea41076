package io.fireflyshed.protocol.completion;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes server-sent events from pieces of a byte stream. Not thread safe.
 *
 * <p>Source of the format: the HTML Living Standard, section "Server-sent events". The retry field
 * is ignored.
 */
public final class SseDecoder {

  /** The longest line that is accepted, in bytes. */
  public static final int MAX_LINE_BYTES = 1 << 20;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
  private final StringBuilder data = new StringBuilder();
  private String id = "";
  private String name = "";
  private boolean hasData;
  private boolean isAfterReturn;

  /**
   * Takes in the next bytes of the stream.
   *
   * @param bytes the bytes, not null
   * @return the events that the bytes complete, in order, never null
   * @throws IllegalArgumentException if a line is longer than {@link #MAX_LINE_BYTES}
   */
  public List<SseEvent> decode(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      if (b == '\n' && isAfterReturn && i == start) {
        start = i + 1;
        isAfterReturn = false;
      } else if (b == '\n' || b == '\r') {
        append(bytes, start, i);
        endLine(events);
        isAfterReturn = b == '\r';
        start = i + 1;
      } else {
        isAfterReturn = false;
      }
    }
    append(bytes, start, bytes.length);
    return events;
  }

  private void append(byte[] bytes, int from, int to) {
    if (line.size() + to - from > MAX_LINE_BYTES) {
      throw new IllegalArgumentException("a line of the event stream is too long");
    }
    line.write(bytes, from, to - from);
  }

  private void endLine(List<SseEvent> events) {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      if (hasData) {
        events.add(new SseEvent(id, name, data.toString()));
      }
      clear();
      return;
    }
    int colon = text.indexOf(':');
    if (colon == 0) {
      return;
    }
    String field = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    takeField(field, value.startsWith(" ") ? value.substring(1) : value);
  }

  private void takeField(String field, String value) {
    switch (field) {
      case "data" -> {
        if (hasData) {
          data.append('\n');
        }
        data.append(value);
        hasData = true;
      }
      case "id" -> id = value;
      case "event" -> name = value;
      default -> {
        // Other fields have no meaning here.
      }
    }
  }

  private void clear() {
    data.setLength(0);
    hasData = false;
    id = "";
    name = "";
  }
}
