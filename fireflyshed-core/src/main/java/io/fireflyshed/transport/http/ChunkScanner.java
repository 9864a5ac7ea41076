package io.fireflyshed.transport.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of one chunked body among the bytes of a connection, and chunk sizes and trailers
 * that a lenient decoder accepts. Not thread safe.
 */
final class ChunkScanner {

  private enum Part {
    SIZE,
    SIZE_PADDING,
    EXTENSION,
    DATA,
    DATA_END,
    TRAILER,
    END
  }

  private static final int HEX_BASE = 16;

  /** A chunk of more bytes than that fits into no buffer. */
  private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

  private final boolean areTrailersTested;
  private final HeaderLineScanner trailers = new HeaderLineScanner();
  private Part part = Part.SIZE;
  private long chunkBytes;
  private boolean hasDigit;
  private boolean isLineEmpty = true;
  private boolean isMalformed;

  private ChunkScanner(boolean areTrailersTested) {
    this.areTrailersTested = areTrailersTested;
  }

  /** Creates a scanner of the body of a request, whose trailers are left to the decoder. */
  static ChunkScanner ofRequest() {
    return new ChunkScanner(false);
  }

  /** Creates a scanner of the body of a response. */
  static ChunkScanner ofResponse() {
    return new ChunkScanner(true);
  }

  /**
   * Reads bytes up to the end of the body or to a malformed chunk size or trailer.
   *
   * @param bytes the bytes, whose indexes are not changed, not null
   * @param start the index of the first byte
   * @param end the index behind the last byte
   * @return the index behind the last byte that was read, {@code start} behind the end of the body
   */
  int scan(ByteBuf bytes, int start, int end) {
    int index = start;
    while (index < end && part != Part.END && !isMalformed) {
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
      case SIZE, SIZE_PADDING, EXTENSION -> addToSizeLine(c);
      case DATA_END -> part = c == '\n' ? Part.SIZE : Part.DATA_END;
      default -> addToTrailer(c);
    }
  }

  private void addToTrailer(char c) {
    if (areTrailersTested) {
      trailers.add(c);
      isMalformed = trailers.isMalformed();
    }
    if (c == '\n') {
      part = isLineEmpty ? Part.END : Part.TRAILER;
      isLineEmpty = true;
    } else if (c != '\r') {
      isLineEmpty = false;
    }
  }

  private void addToSizeLine(char c) {
    int digit = Character.digit(c, HEX_BASE);
    if (part == Part.SIZE && digit >= 0) {
      hasDigit = true;
      chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * HEX_BASE + digit);
    } else if (!hasDigit) {
      isMalformed = true;
    } else if (c == '\n') {
      hasDigit = false;
      part = chunkBytes == 0 ? Part.TRAILER : Part.DATA;
    } else if (part != Part.EXTENSION && c != '\r') {
      isMalformed = c != ' ' && c != '\t' && c != ';';
      part = c == ';' ? Part.EXTENSION : Part.SIZE_PADDING;
    }
  }

  /** Returns whether a chunk size or a trailer is malformed. */
  boolean isMalformed() {
    return isMalformed;
  }
}
