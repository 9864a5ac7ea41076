package io.fireflyshed.daemon.settings;

import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Function;

/**
 * Describes one setting, which a flag or an environment variable gives.
 *
 * @param <T> the type of its values
 * @param name the long flag without dashes, not null
 * @param allowed what values are allowed, for people, not null
 * @param defaultText the text of the default, or null if the setting has none
 * @param description what the setting does, not null
 * @param isSecret whether its value must not be printed
 * @param arity how many values it takes, not null
 * @param parser turns one text into a value, not null; throws IllegalArgumentException
 */
public record Setting<T>(
    String name,
    String allowed,
    String defaultText,
    String description,
    boolean isSecret,
    SettingArity arity,
    Function<String, T> parser) {

  private static final String PREFIX = "FIREFLYSHED_";

  /** Checks the parts of the record. */
  public Setting {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(allowed, "allowed");
    Objects.requireNonNull(description, "description");
    Objects.requireNonNull(arity, "arity");
    Objects.requireNonNull(parser, "parser");
  }

  /**
   * Creates a setting with a single value that is no secret.
   *
   * @param <T> the type of its value
   * @param name the long flag without dashes, not null
   * @param allowed what values are allowed, not null
   * @param defaultText the text of the default, or null for none
   * @param description what the setting does, not null
   * @param parser turns a text into a value, not null
   * @return the setting, never null
   */
  public static <T> Setting<T> of(
      String name,
      String allowed,
      String defaultText,
      String description,
      Function<String, T> parser) {
    return new Setting<>(name, allowed, defaultText, description, false, SettingArity.ONE, parser);
  }

  /**
   * Creates a setting with a whole number.
   *
   * @param name the long flag without dashes, not null
   * @param min the smallest allowed number
   * @param max the largest allowed number
   * @param defaultValue the default
   * @param description what the setting does, not null
   * @return the setting, never null
   */
  public static Setting<Integer> ofInteger(
      String name, int min, int max, int defaultValue, String description) {
    return of(
        name,
        min + " to " + max,
        String.valueOf(defaultValue),
        description,
        SettingParsers.newIntegerParser(min, max));
  }

  /**
   * Creates a setting with a duration that must not be zero.
   *
   * @param name the long flag without dashes, not null
   * @param defaultText the text of the default, not null
   * @param description what the setting does, not null
   * @return the setting, never null
   */
  public static Setting<Duration> ofDuration(String name, String defaultText, String description) {
    return of(
        name,
        SettingParsers.DURATION,
        defaultText,
        description,
        SettingParsers::parsePositiveDuration);
  }

  /**
   * Creates a setting that is off unless its flag is given.
   *
   * @param name the long flag without dashes, not null
   * @param description what the setting does, not null
   * @return the setting, never null
   */
  public static Setting<Boolean> ofFlag(String name, String description) {
    return new Setting<>(
        name,
        "true or false",
        "false",
        description,
        false,
        SettingArity.FLAG,
        SettingParsers::parseBoolean);
  }

  /**
   * Gets the name of the environment variable.
   *
   * @return the name, never null
   */
  public String getVariable() {
    return PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
