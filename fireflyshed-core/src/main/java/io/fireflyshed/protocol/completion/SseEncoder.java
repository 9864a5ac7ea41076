package io.fireflyshed.protocol.completion;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes server-sent events. Not thread safe. */
public final class SseEncoder {

  private static final byte[] ID = "id: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] EVENT = "event: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA = "data: ".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream output = new ByteArrayOutputStream(512);

  /**
   * Appends an event.
   *
   * @param event the event, not null
   * @return this encoder
   */
  public SseEncoder append(SseEvent event) {
    if (event.id() != SseEvent.NO_ID) {
      output.writeBytes(ID);
      output.writeBytes(Long.toString(event.id()).getBytes(StandardCharsets.US_ASCII));
      output.write('\n');
    }
    if (!event.name().isEmpty()) {
      output.writeBytes(EVENT);
      output.writeBytes(event.name().getBytes(StandardCharsets.UTF_8));
      output.write('\n');
    }
    appendData(event.data());
    output.write('\n');
    return this;
  }

  /**
   * Returns the encoded events.
   *
   * @return the bytes, never null
   */
  public ByteBuffer toBytes() {
    return ByteBuffer.wrap(output.toByteArray());
  }

  private void appendData(ByteBuffer data) {
    byte[] bytes = new byte[data.remaining()];
    data.duplicate().get(bytes);
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        appendDataLine(bytes, start, i);
        start = i + 1;
      }
    }
    appendDataLine(bytes, start, bytes.length);
  }

  private void appendDataLine(byte[] bytes, int from, int to) {
    output.writeBytes(DATA);
    output.write(bytes, from, to - from);
    output.write('\n');
  }
}
