package io.fireflyshed.protocol.completion;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Decodes server-sent events from a byte stream that arrives in pieces. Not thread safe.
 *
 * <p>The format is specified in the section "Server-sent events" of the HTML Living Standard. The
 * retry field is ignored.
 */
public final class SseDecoder {

  /** The maximum length of a line, in bytes. */
  public static final int MAX_LINE_BYTES = 1 << 20;

  private static final byte[] DATA = "data".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID = "id".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] EVENT = "event".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_ID_DIGITS = 18;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
  private final ByteArrayOutputStream data = new ByteArrayOutputStream(256);
  private long id = SseEvent.NO_ID;
  private String name = "";
  private boolean hasData;
  private boolean isAfterCarriageReturn;

  /**
   * Decodes the next bytes of the stream.
   *
   * @param bytes the bytes, not null
   * @return the events that these bytes complete, in order, never null
   * @throws IllegalArgumentException if a line is longer than {@link #MAX_LINE_BYTES}
   */
  public List<SseEvent> decode(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      if (b == '\n' && isAfterCarriageReturn && i == start) {
        start = i + 1;
        isAfterCarriageReturn = false;
      } else if (b == '\n' || b == '\r') {
        finishLine(bytes, start, i, events);
        isAfterCarriageReturn = b == '\r';
        start = i + 1;
      } else {
        isAfterCarriageReturn = false;
      }
    }
    buffer(bytes, start, bytes.length);
    return events;
  }

  /**
   * Tests whether all bytes so far belong to complete events.
   *
   * @return true if no incomplete event is buffered
   */
  public boolean isBetweenEvents() {
    return line.size() == 0 && !hasData && id == SseEvent.NO_ID && name.isEmpty();
  }

  private void buffer(byte[] bytes, int from, int to) {
    if (line.size() + to - from > MAX_LINE_BYTES) {
      throw new IllegalArgumentException("a line of the event stream exceeds the maximum length");
    }
    line.write(bytes, from, to - from);
  }

  private void finishLine(byte[] bytes, int from, int to, List<SseEvent> events) {
    if (line.size() == 0) {
      processLine(bytes, from, to, events);
      return;
    }
    buffer(bytes, from, to);
    byte[] whole = line.toByteArray();
    line.reset();
    processLine(whole, 0, whole.length, events);
  }

  private void processLine(byte[] bytes, int from, int to, List<SseEvent> events) {
    if (from == to) {
      finishEvent(events);
      return;
    }
    int colon = from;
    while (colon < to && bytes[colon] != ':') {
      colon++;
    }
    int value = Math.min(to, colon + 1);
    if (value < to && bytes[value] == ' ') {
      value++;
    }
    if (Arrays.equals(bytes, from, colon, DATA, 0, DATA.length)) {
      appendData(bytes, value, to);
    } else if (Arrays.equals(bytes, from, colon, ID, 0, ID.length)) {
      id = parseId(bytes, value, to);
    } else if (Arrays.equals(bytes, from, colon, EVENT, 0, EVENT.length)) {
      name = new String(bytes, value, to - value, StandardCharsets.UTF_8);
    }
  }

  private void appendData(byte[] bytes, int from, int to) {
    if (hasData) {
      data.write('\n');
    }
    data.write(bytes, from, to - from);
    hasData = true;
  }

  private void finishEvent(List<SseEvent> events) {
    if (hasData) {
      events.add(new SseEvent(id, name, ByteBuffer.wrap(data.toByteArray())));
    }
    data.reset();
    hasData = false;
    id = SseEvent.NO_ID;
    name = "";
  }

  private static long parseId(byte[] bytes, int from, int to) {
    if (from == to || to - from > MAX_ID_DIGITS) {
      return SseEvent.NO_ID;
    }
    long number = 0;
    for (int i = from; i < to; i++) {
      int digit = bytes[i] - '0';
      if (digit < 0 || digit > 9) {
        return SseEvent.NO_ID;
      }
      number = 10 * number + digit;
    }
    return number;
  }
}
