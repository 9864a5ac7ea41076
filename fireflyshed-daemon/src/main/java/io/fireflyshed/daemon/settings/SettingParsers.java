package io.fireflyshed.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the texts of settings. */
public final class SettingParsers {

  /** What a duration may look like. */
  public static final String DURATION = "a duration such as 500ms, 2s or 1m";

  /** What an address may look like. */
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
      throw new IllegalArgumentException("no port");
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
      throw new IllegalArgumentException("no duration");
    }
    long amount = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      default -> Duration.ofMinutes(amount);
    };
  }

  /**
   * Parses a duration that must not be zero.
   *
   * @param text the text, not null
   * @return the duration, positive, never null
   * @throws IllegalArgumentException if the text is malformed or zero
   */
  public static Duration parsePositiveDuration(String text) {
    Duration duration = parseDuration(text);
    if (duration.isZero()) {
      throw new IllegalArgumentException("zero");
    }
    return duration;
  }

  /**
   * Parses a truth value.
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
   * Gets a parser of whole numbers in a range.
   *
   * @param min the smallest allowed number
   * @param max the largest allowed number
   * @return the parser, never null
   */
  public static Function<String, Integer> newIntegerParser(int min, int max) {
    return text -> parseInteger(text, min, max);
  }

  /**
   * Gets a parser of the constants of an enum, in lower case with dashes.
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
