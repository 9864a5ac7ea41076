package io.fireflyshed.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the values of settings. */
public final class SettingParsers {

  /** A description of the format of durations, shown to users. */
  public static final String DURATION = "a duration such as 500ms, 2s or 1m";

  /** A description of the format of addresses, shown to users. */
  public static final String ADDRESS = "HOST:PORT with a port of 0 to 65535";

  private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9})(ms|s|m)");
  private static final int MAX_PORT = 65_535;

  private SettingParsers() {}

  /**
   * Parses an address.
   *
   * @param text the text, not null
   * @return the address, never null
   * @throws IllegalArgumentException if the text is malformed
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("not HOST:PORT");
    }
    int port = parseInteger(text.substring(colon + 1), 0, MAX_PORT);
    return new InetSocketAddress(text.substring(0, colon), port);
  }

  /**
   * Parses a duration.
   *
   * @param text the text, not null
   * @return the duration, 0 or more, never null
   * @throws IllegalArgumentException if the text is malformed
   */
  public static Duration parseDuration(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a duration");
    }
    long amount = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      default -> Duration.ofMinutes(amount);
    };
  }

  /**
   * Parses a positive duration.
   *
   * @param text the text, not null
   * @return the duration, never zero, never null
   * @throws IllegalArgumentException if the text is malformed or zero
   */
  public static Duration parsePositiveDuration(String text) {
    Duration duration = parseDuration(text);
    if (duration.isZero()) {
      throw new IllegalArgumentException("duration must not be zero");
    }
    return duration;
  }

  /**
   * Parses a boolean.
   *
   * @param text the text, not null
   * @return the value, never null
   * @throws IllegalArgumentException if the text is neither true nor false
   */
  public static Boolean parseBoolean(String text) {
    if (!text.equals("true") && !text.equals("false")) {
      throw new IllegalArgumentException("not true or false");
    }
    return Boolean.valueOf(text);
  }

  /**
   * Returns a parser of whole numbers in a range.
   *
   * @param min the minimum value
   * @param max the maximum value
   * @return the parser, never null
   */
  public static Function<String, Integer> newIntegerParser(int min, int max) {
    return text -> parseInteger(text, min, max);
  }

  /**
   * Returns a parser of the constants of an enum, which are written in lower case with dashes.
   *
   * @param <E> the enum
   * @param type the enum, not null
   * @return the parser, never null
   */
  public static <E extends Enum<E>> Function<String, E> newEnumParser(Class<E> type) {
    return text -> {
      if (!text.equals(text.toLowerCase(Locale.ROOT))) {
        throw new IllegalArgumentException("not in lower case");
      }
      return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
    };
  }

  private static int parseInteger(String text, int min, int max) {
    int number = Integer.parseInt(text);
    if (number < min || number > max) {
      throw new IllegalArgumentException("out of range");
    }
    return number;
  }
}
