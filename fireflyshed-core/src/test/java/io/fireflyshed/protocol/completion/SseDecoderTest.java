package io.fireflyshed.protocol.completion;

import static org.testng.Assert.assertEquals;

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
          new SseEvent("1", "", "a\nb"),
          new SseEvent("", "error", "c"),
          new SseEvent("", "", "[DONE]"));

  @Test
  public void decodesTheSameEventsHoweverTheBytesAreCut() {
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
  public void refusesAnEndlessLine() {
    new SseDecoder().decode(new byte[SseDecoder.MAX_LINE_BYTES + 1]);
  }
}
