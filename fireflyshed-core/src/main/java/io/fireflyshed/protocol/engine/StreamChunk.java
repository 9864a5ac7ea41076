package io.fireflyshed.protocol.engine;

import java.nio.ByteBuffer;
import java.util.Objects;

/**
 * Consecutive events of an answer, encoded as the caller receives them.
 *
 * @param offset the position of the first event in the answer, in tokens from 0
 * @param tokens the number of events that carry a token, 0 or more
 * @param frames the encoded server-sent events, not null; must not be modified
 * @param isEnd whether the last event is the end marker, which shows that the answer is complete
 */
public record StreamChunk(long offset, int tokens, ByteBuffer frames, boolean isEnd) {

  /** Validates the components. */
  public StreamChunk {
    Objects.requireNonNull(frames, "frames");
    if (offset < 0 || tokens < 0) {
      throw new IllegalArgumentException("offset and tokens must not be negative");
    }
  }

  /**
   * Returns the position after the last event.
   *
   * @return the position in tokens
   */
  public long getNextOffset() {
    return offset + tokens;
  }
}
