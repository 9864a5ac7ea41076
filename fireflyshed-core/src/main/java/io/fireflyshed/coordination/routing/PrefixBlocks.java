package io.fireflyshed.coordination.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes the ids of the blocks of a prompt as engines report them in cache events.
 *
 * <p>A block is a run of {@link #BLOCK_TOKENS} words. Its id is a hash of its words and of the id
 * of the block before it, so equal ids mean equal prompts up to the end of the block.
 *
 * <pre>{@code
 * long[] blocks = PrefixBlocks.of(prompt);
 * }</pre>
 */
public final class PrefixBlocks {

  /** The number of words in a block. */
  public static final int BLOCK_TOKENS = 16;

  /** The maximum number of blocks of a prompt; the rest of a longer prompt is ignored. */
  public static final int MAX_BLOCKS = 2_048;

  private PrefixBlocks() {}

  /**
   * Computes the ids of the complete blocks of a prompt.
   *
   * @param prompt the prompt, not null
   * @return the ids in the order of the blocks, empty if the prompt is shorter than a block, never
   *     null
   */
  public static long[] of(String prompt) {
    Objects.requireNonNull(prompt, "prompt");
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    long[] blocks = new long[Math.min(MAX_BLOCKS, bytes.length / (2 * BLOCK_TOKENS - 1) + 1)];
    int count = 0;
    int words = 0;
    int start = 0;
    long previous = 0;
    for (int i = 0; i <= bytes.length && count < blocks.length; i++) {
      boolean isWordEnd =
          i > 0 && !isSpace(bytes[i - 1]) && (i == bytes.length || isSpace(bytes[i]));
      words += isWordEnd ? 1 : 0;
      if (words == BLOCK_TOKENS) {
        previous = hash(previous, bytes, start, i);
        blocks[count++] = previous;
        words = 0;
        start = i;
      }
    }
    return Arrays.copyOf(blocks, count);
  }

  private static boolean isSpace(byte b) {
    return b == ' ' || b == '\n' || b == '\t' || b == '\r';
  }

  private static long hash(long previous, byte[] bytes, int start, int end) {
    ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES + end - start);
    buffer.putLong(previous).put(bytes, start, end - start);
    return MurmurHash3.hash128x64(buffer.array())[0];
  }
}
