package io.fireflyshed.protocol.completion;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link SseDecoder}. */
public class SseDecoderTest {

  private static final String STREAM =
      ": comment\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\nevent: error\ndata:c\n\n\ndata: [DONE]\n\n";

  private static final List<SseEvent> EVENTS =
      List.of(
          newEvent(1, "", "a\nb"),
          newEvent(SseEvent.NO_ID, "error", "c"),
          newEvent(SseEvent.NO_ID, "", "[DONE]"));

  private static SseEvent newEvent(long id, String name, String data) {
    return new SseEvent(id, name, ByteBuffer.wrap(data.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  public void encodedEventsAreDecodedUnchanged() {
    SseEncoder encoder = new SseEncoder();
    EVENTS.forEach(encoder::append);
    assertEquals(new SseDecoder().decode(encoder.toBytes().array()), EVENTS);
  }

  @Test
  public void ignoresIdThatIsNotANumber() {
    for (String id : List.of("x", "-1", "", "1234567890123456789")) {
      byte[] bytes = ("id: " + id + "\ndata: a\n\n").getBytes(StandardCharsets.UTF_8);
      assertEquals(new SseDecoder().decode(bytes).get(0).id(), SseEvent.NO_ID, id);
    }
  }

  @Test
  public void decodesSameEventsForEveryPieceSize() {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int size = 1; size <= bytes.length; size++) {
      SseDecoder decoder = new SseDecoder();
      List<SseEvent> events = new ArrayList<>();
      for (int from = 0; from < bytes.length; from += size) {
        int to = Math.min(bytes.length, from + size);
        events.addAll(decoder.decode(Arrays.copyOfRange(bytes, from, to)));
      }
      assertEquals(events, EVENTS, "piece size " + size);
    }
  }

  @Test(expectedExceptions = IllegalArgumentException.class)
  public void rejectsLineOverMaximumLength() {
    new SseDecoder().decode(new byte[SseDecoder.MAX_LINE_BYTES + 1]);
  }
}
