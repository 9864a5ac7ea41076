package io.fireflyshed.transport.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * Reads the bytes of one head of a response and finds what a lenient decoder doesn't. Not thread
 * safe.
 */
final class ResponseHeadScanner {

  /** What is wrong with a head. */
  enum Defect {
    /** The first line isn't that of a response of HTTP/1 with a status of three digits. */
    STATUS_LINE,
    /** Another status line begins within the head, which is that of a response cut off before. */
    SECOND_STATUS_LINE,
    /** A line doesn't begin with the name of a header and a colon. */
    HEADER_NAME
  }

  /** The start of a status line, in which a zero stands for any digit. */
  private static final String STATUS_LINE = "HTTP/1.0 000";

  /** The decoder refuses longer lines. */
  private static final int MAX_LINE_LENGTH = 16 << 10;

  /** Limits the characters of a head that a log line shows. */
  private static final int MAX_BEGINNING_LENGTH = 64;

  private final boolean mayFollowResponse;
  private final StringBuilder beginning = new StringBuilder(MAX_BEGINNING_LENGTH);
  private final StringBuilder line = new StringBuilder();
  private final HeaderLineScanner headerLines = new HeaderLineScanner();
  private boolean isFirstLine = true;
  private boolean isEnded;
  private Optional<Defect> defect = Optional.empty();

  /**
   * Creates a scanner of one head.
   *
   * @param mayFollowResponse whether the peer sent a response on the connection before, so that a
   *     part of a surplus response may precede the head; even the version of a second status line
   *     is a defect then, otherwise only a whole one
   */
  ResponseHeadScanner(boolean mayFollowResponse) {
    this.mayFollowResponse = mayFollowResponse;
  }

  /**
   * Reads bytes up to the end of the head or to a defect.
   *
   * @param bytes the bytes, whose indexes are not changed, not null
   * @param start the index of the first byte
   * @param end the index behind the last byte
   * @return the index behind the last byte that was read
   */
  int scan(ByteBuf bytes, int start, int end) {
    int index = start;
    while (index < end && !isEnded && defect.isEmpty()) {
      add((char) (bytes.getByte(index++) & 0xff));
    }
    return index;
  }

  private void add(char c) {
    if (beginning.length() < MAX_BEGINNING_LENGTH) {
      beginning.append(c);
    }
    if (isFirstLine && !fitsStatusLine(line.length(), c)) {
      defect = Optional.of(Defect.STATUS_LINE);
      return;
    }
    if (!isFirstLine) {
      headerLines.add(c);
    }
    if (c == '\n') {
      endLine();
    } else if (line.length() < MAX_LINE_LENGTH) {
      line.append(c);
    }
  }

  private static boolean fitsStatusLine(int position, char c) {
    if (position >= STATUS_LINE.length()) {
      return position > STATUS_LINE.length() || c == ' ' || c == '\r' || c == '\n';
    }
    char expected = STATUS_LINE.charAt(position);
    return expected == '0' ? c >= '0' && c <= '9' : c == expected;
  }

  private void endLine() {
    String text = line.substring(isFirstLine ? 1 : 0);
    // A header of a sound peer may contain a version, but hardly a whole status line.
    boolean isSecond =
        mayFollowResponse
            ? StatusLineUtils.containsVersion(text)
            : StatusLineUtils.containsStatusLine(text);
    if (isSecond) {
      defect = Optional.of(Defect.SECOND_STATUS_LINE);
    } else if (headerLines.isMalformed()) {
      defect = Optional.of(Defect.HEADER_NAME);
      beginning.setLength(0);
      beginning.append(text, 0, Math.min(text.length(), MAX_BEGINNING_LENGTH));
    }
    isEnded = text.isBlank() && !isFirstLine;
    isFirstLine = false;
    line.setLength(0);
  }

  /** Returns whether the empty line behind the head was read. */
  boolean isEnded() {
    return isEnded;
  }

  /** Returns what is wrong with the head as far as it was read, never null. */
  Optional<Defect> getDefect() {
    return defect;
  }

  /**
   * Returns the first characters of the head, or those of its malformed line if it has one, never
   * null.
   */
  String getBeginning() {
    return beginning.toString();
  }
}
