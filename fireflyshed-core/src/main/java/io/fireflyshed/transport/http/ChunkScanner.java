package io.fireflyshed.transport.http;

import io.netty.buffer.ByteBuf;

/** Finds the end of one chunked body among the bytes of a connection. Not thread safe. */
final class ChunkScanner {

  private enum Part {
    SIZE,
    EXTENSION,
    DATA,
    DATA_END,
    TRAILER,
    END
  }

  private static final int HEX_BASE = 16;

  /** A chunk of more bytes than that fits into no buffer. */
  private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

  private Part part = Part.SIZE;
  private long chunkBytes;
  private boolean isLineEmpty = true;

  /**
   * Reads bytes up to the end of the body.
   *
   * @param bytes the bytes, whose indexes are not changed, not null
   * @param start the index of the first byte
   * @param end the index behind the last byte
   * @return the index behind the last byte that was read, {@code start} behind the end of the body
   */
  int scan(ByteBuf bytes, int start, int end) {
    int index = start;
    while (index < end && part != Part.END) {
      if (part == Part.DATA) {
        int length = (int) Math.min(end - index, chunkBytes);
        index += length;
        chunkBytes -= length;
        part = chunkBytes == 0 ? Part.DATA_END : Part.DATA;
      } else {
        add((char) (bytes.getByte(index++) & 0xff));
      }
    }
    return index;
  }

  private void add(char c) {
    switch (part) {
      case SIZE, EXTENSION -> addToSizeLine(c);
      case DATA_END -> part = c == '\n' ? Part.SIZE : Part.DATA_END;
      default -> {
        if (c == '\n') {
          part = isLineEmpty ? Part.END : Part.TRAILER;
          isLineEmpty = true;
        } else if (c != '\r') {
          isLineEmpty = false;
        }
      }
    }
  }

  private void addToSizeLine(char c) {
    int digit = Character.digit(c, HEX_BASE);
    if (c == '\n') {
      part = chunkBytes == 0 ? Part.TRAILER : Part.DATA;
    } else if (part == Part.SIZE && digit >= 0) {
      chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * HEX_BASE + digit);
    } else {
      part = Part.EXTENSION;
    }
  }
}
