package io.fireflyshed.daemon.settings;

import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Function;

/**
 * A setting that is given by a flag or an environment variable.
 *
 * @param <T> the type of its values
 * @param name the long flag without dashes, not null
 * @param allowedValues a description of the allowed values, shown to users, not null
 * @param defaultText the default value as text, or null if there is none
 * @param description a description of the setting, shown to users, not null
 * @param isSecret whether its value must not be printed
 * @param arity the number of values that the setting takes, not null
 * @param parser converts the text of one value, not null; throws an IllegalArgumentException if the
 *     value is not allowed
 */
public record Setting<T>(
    String name,
    String allowedValues,
    String defaultText,
    String description,
    boolean isSecret,
    SettingArity arity,
    Function<String, T> parser) {

  private static final String VARIABLE_PREFIX = "FIREFLYSHED_";

  /** Validates the components. */
  public Setting {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(allowedValues, "allowedValues");
    Objects.requireNonNull(description, "description");
    Objects.requireNonNull(arity, "arity");
    Objects.requireNonNull(parser, "parser");
  }

  /**
   * Creates a setting with a single value that is not secret.
   *
   * @param <T> the type of its value
   * @param name the long flag without dashes, not null
   * @param allowedValues a description of the allowed values, not null
   * @param defaultText the default value as text, or null for none
   * @param description a description of the setting, not null
   * @param parser converts the text of the value, not null
   * @return the setting, never null
   */
  public static <T> Setting<T> of(
      String name,
      String allowedValues,
      String defaultText,
      String description,
      Function<String, T> parser) {
    return new Setting<>(
        name, allowedValues, defaultText, description, false, SettingArity.ONE, parser);
  }

  /**
   * Creates a setting whose value is a whole number.
   *
   * @param name the long flag without dashes, not null
   * @param min the minimum value
   * @param max the maximum value
   * @param defaultValue the default value
   * @param description a description of the setting, not null
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
   * Creates a setting whose value is a positive duration.
   *
   * @param name the long flag without dashes, not null
   * @param defaultText the default value as text, not null
   * @param description a description of the setting, not null
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
   * Creates a setting that is switched on by its flag and off by default.
   *
   * @param name the long flag without dashes, not null
   * @param description a description of the setting, not null
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
   * Returns the name of the environment variable.
   *
   * @return the name, never null
   */
  public String getVariable() {
    return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
