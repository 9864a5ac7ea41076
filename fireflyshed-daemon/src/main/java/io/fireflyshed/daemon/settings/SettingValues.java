package io.fireflyshed.daemon.settings;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The parsed values of settings. A flag takes precedence over a variable. Immutable. */
public final class SettingValues {

  private static final String MASK = "********";

  private final Map<Setting<?>, List<String>> texts;
  private final Map<Setting<?>, List<Object>> values;

  private SettingValues(Map<Setting<?>, List<String>> texts, Map<Setting<?>, List<Object>> values) {
    this.texts = texts;
    this.values = values;
  }

  /**
   * Parses flags and variables.
   *
   * @param settings the settings of the command, not null
   * @param arguments the arguments after the name of the command, not null
   * @param environment the environment variables, not null
   * @return the values, never null
   * @throws SettingException if a flag is unknown or a value is missing or malformed
   */
  public static SettingValues parse(
      List<Setting<?>> settings, List<String> arguments, Map<String, String> environment) {
    CommandLine commandLine = parseCommandLine(settings, arguments);
    Map<Setting<?>, List<String>> texts = new LinkedHashMap<>();
    Map<Setting<?>, List<Object>> values = new LinkedHashMap<>();
    for (Setting<?> setting : settings) {
      List<String> given = findValueTexts(setting, commandLine, environment);
      texts.put(setting, given);
      values.put(setting, given.stream().map(t -> parseValue(setting, t)).toList());
    }
    return new SettingValues(texts, values);
  }

  /**
   * Returns the value of a setting, or the last one if several were given.
   *
   * @param <T> the type of the value
   * @param setting one of the parsed settings, not null
   * @return the value, never null
   * @throws SettingException if no value was given and the setting has no default
   */
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    List<Object> all = values.get(Objects.requireNonNull(setting, "setting"));
    if (all.isEmpty()) {
      throw new SettingException(
          "--" + setting.name() + " is required; expected " + setting.allowedValues());
    }
    return (T) all.get(all.size() - 1);
  }

  /**
   * Returns all values of a setting.
   *
   * @param <T> the type of the values
   * @param setting one of the parsed settings, not null
   * @return the values in the order given, never null
   */
  @SuppressWarnings("unchecked")
  public <T> List<T> getAll(Setting<T> setting) {
    return (List<T>) values.get(Objects.requireNonNull(setting, "setting"));
  }

  /**
   * Returns a line NAME=VALUE with the effective value of each setting; secrets are masked.
   *
   * @return the lines, never null
   */
  public List<String> toLines() {
    return texts.entrySet().stream()
        .map(e -> e.getKey().name() + "=" + toPrintableText(e.getKey(), e.getValue()))
        .toList();
  }

  private static String toPrintableText(Setting<?> setting, List<String> given) {
    return setting.isSecret() && !given.isEmpty() ? MASK : String.join(",", given);
  }

  private static CommandLine parseCommandLine(List<Setting<?>> settings, List<String> arguments) {
    Options options = new Options();
    for (Setting<?> setting : settings) {
      boolean hasValue = setting.arity() != SettingArity.FLAG;
      options.addOption(Option.builder().longOpt(setting.name()).hasArg(hasValue).get());
    }
    try {
      DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
      CommandLine commandLine = parser.parse(options, arguments.toArray(String[]::new));
      if (!commandLine.getArgList().isEmpty()) {
        throw new SettingException("unexpected argument: " + commandLine.getArgList().get(0));
      }
      return commandLine;
    } catch (ParseException e) {
      throw new SettingException(e.getMessage() + "; see --help");
    }
  }

  private static List<String> findValueTexts(
      Setting<?> setting, CommandLine commandLine, Map<String, String> environment) {
    if (setting.arity() == SettingArity.FLAG && commandLine.hasOption(setting.name())) {
      return List.of(Boolean.TRUE.toString());
    }
    String[] flags = commandLine.getOptionValues(setting.name());
    if (flags != null) {
      if (setting.arity() != SettingArity.MANY && flags.length > 1) {
        throw new SettingException("--" + setting.name() + " must not be given more than once");
      }
      return List.of(flags);
    }
    String text = environment.getOrDefault(setting.getVariable(), setting.defaultText());
    if (text == null) {
      return List.of();
    }
    return setting.arity() == SettingArity.MANY ? Arrays.asList(text.split(",")) : List.of(text);
  }

  private static Object parseValue(Setting<?> setting, String text) {
    try {
      return setting.parser().apply(text);
    } catch (IllegalArgumentException e) {
      String printableText = setting.isSecret() ? MASK : text;
      throw new SettingException(
          "--"
              + setting.name()
              + ": invalid value \""
              + printableText
              + "\"; expected "
              + setting.allowedValues());
    }
  }
}
