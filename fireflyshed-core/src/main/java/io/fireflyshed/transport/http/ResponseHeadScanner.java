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
    SECOND_STATUS_LINE
  }

  private static final String VERSION = "HTTP/1.";

  /** The start of a status line, in which a zero stands for any digit. */
  private static final String STATUS_LINE = VERSION + "0 000";

  private final boolean mayFollowResponse;
  private int position;
  private int matchedLength;
  private boolean isLineEmpty;
  private boolean isEnded;
  private Optional<Defect> defect = Optional.empty();

  /**
   * Creates a scanner of one head.
   *
   * @param mayFollowResponse whether the peer sent a response on the connection before, a part of
   *     whose repetition may precede the head; the version of a second status line is a defect then
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
    if (!fitsStatusLine(c)) {
      defect = Optional.of(Defect.STATUS_LINE);
    } else if (position > 0 && completesStatusLine(c)) {
      defect = Optional.of(Defect.SECOND_STATUS_LINE);
    }
    position++;
    if (c == '\n') {
      isEnded = isLineEmpty;
      isLineEmpty = true;
    } else if (c != '\r') {
      isLineEmpty = false;
    }
  }

  private boolean fitsStatusLine(char c) {
    if (position >= STATUS_LINE.length()) {
      return position > STATUS_LINE.length() || c == ' ' || c == '\r' || c == '\n';
    }
    return fits(c, STATUS_LINE.charAt(position));
  }

  /** Tests whether the latest characters begin another status line, in upper or lower case. */
  private boolean completesStatusLine(char c) {
    char upper = c >= 'a' && c <= 'z' ? (char) (c - 'a' + 'A') : c;
    if (fits(upper, STATUS_LINE.charAt(matchedLength))) {
      matchedLength++;
    } else {
      matchedLength = upper == STATUS_LINE.charAt(0) ? 1 : 0;
    }
    // A header of a sound peer may contain a version, but hardly a whole status line.
    int length = mayFollowResponse ? VERSION.length() : STATUS_LINE.length();
    boolean isComplete = matchedLength == length;
    matchedLength = isComplete ? 0 : matchedLength;
    return isComplete;
  }

  private static boolean fits(char c, char expected) {
    return expected == '0' ? c >= '0' && c <= '9' : c == expected;
  }

  /** Returns whether the empty line behind the head was read. */
  boolean isEnded() {
    return isEnded;
  }

  /** Returns what is wrong with the head as far as it was read, never null. */
  Optional<Defect> getDefect() {
    return defect;
  }
}
