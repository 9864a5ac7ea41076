package io.fireflyshed.state;

import java.util.Objects;
import java.util.regex.Pattern;

/** Validates identifiers. */
public final class IdentifierUtils {

  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9._-]{1,128}");

  private IdentifierUtils() {}

  /**
   * Tests whether a text is a valid identifier.
   *
   * @param value the text, may be null
   * @return true if the text is not null and valid
   */
  public static boolean isIdentifier(String value) {
    return value != null && IDENTIFIER.matcher(value).matches();
  }

  /**
   * Requires that a text is a valid identifier.
   *
   * @param kind the name of what the text identifies, for the exception message, not null
   * @param value the text, not null
   * @return the text
   * @throws NullPointerException if the text is null
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static String requireIdentifier(String kind, String value) {
    Objects.requireNonNull(value, kind);
    if (!isIdentifier(value)) {
      throw new IllegalArgumentException(
          kind + " must be 1 to 128 letters, digits, dots, dashes or underscores: " + value);
    }
    return value;
  }
}
