package io.fireflyshed.transport.http;

import java.util.BitSet;

/**
 * Tests byte by byte whether the lines of a head or of trailers begin with the name of a header and
 * a colon, up to the empty line at the end. A folded line doesn't: it can't be told from a header
 * whose name begins with a blank. Not thread safe.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9110#section-5.1">RFC 9110, 5.1</a>
 */
final class HeaderLineScanner {

  private enum Part {
    START,
    EMPTY_LINE,
    NAME,
    VALUE
  }

  /** The characters of a name, RFC 9110, 5.6.2. */
  private static final BitSet NAME_CHARACTERS = new BitSet();

  static {
    NAME_CHARACTERS.set('0', '9' + 1);
    NAME_CHARACTERS.set('A', 'Z' + 1);
    NAME_CHARACTERS.set('a', 'z' + 1);
    "!#$%&'*+-.^_`|~".chars().forEach(NAME_CHARACTERS::set);
  }

  private Part part = Part.START;
  private boolean isMalformed;

  /** Reads the next byte. */
  void add(char c) {
    if (c == '\n') {
      isMalformed |= part == Part.NAME;
      part = Part.START;
    } else if (part == Part.START && c == '\r') {
      part = Part.EMPTY_LINE;
    } else if (part == Part.NAME && c == ':') {
      part = Part.VALUE;
    } else if (part != Part.VALUE) {
      isMalformed |= part == Part.EMPTY_LINE || !NAME_CHARACTERS.get(c);
      part = Part.NAME;
    }
  }

  /** Returns whether a line that was read, or the beginning of one, is malformed. */
  boolean isMalformed() {
    return isMalformed;
  }
}
