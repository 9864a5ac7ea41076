package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationChecker;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.configuration.ConfigurationException;
import io.fireflyshed.protocol.configuration.ConfigurationProblem;
import io.fireflyshed.protocol.configuration.ConfigurationSource;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The settings that the config commands share. */
final class ConfigSettings {

  static final Setting<Path> BASE =
      Setting.of(
          "base", "a file", null, "YAML file with the configuration shared by all sites", Path::of);

  static final Setting<Map.Entry<String, Path>> OVERLAY =
      new Setting<>(
          "overlay",
          "SITE=FILE",
          null,
          "YAML file with the overlay of a site; may be repeated",
          false,
          SettingArity.MANY,
          ConfigSettings::parseOverlay);

  static final Setting<Boolean> JSON = Setting.ofFlag("json", "print JSON instead of text");

  static final Setting<Long> VERSION =
      Setting.of(
          "of-version",
          "1 or more, or 0 for the newest",
          "0",
          "version of the configuration",
          Long::parseLong);

  static final Setting<Integer> LIMIT =
      Setting.ofInteger("limit", 1, 1_000, 20, "maximum number of versions to print");

  private ConfigSettings() {}

  /** Reads and checks the configuration files. */
  static ConfigurationDocument readDocument(SettingValues values) {
    ConfigurationSource base = readSource(values.get(BASE));
    Map<String, ConfigurationSource> overlays = new TreeMap<>();
    for (Map.Entry<String, Path> entry : values.getAll(OVERLAY)) {
      overlays.put(entry.getKey(), readSource(entry.getValue()));
    }
    return new ConfigurationChecker().check(base, overlays);
  }

  private static ConfigurationSource readSource(Path file) {
    try {
      return ConfigurationSource.parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      String message = "cannot read the file: " + e.getMessage();
      throw new ConfigurationException(
          List.of(new ConfigurationProblem(file.toString(), 1, "", message)));
    }
  }

  private static Map.Entry<String, Path> parseOverlay(String text) {
    int equals = text.indexOf('=');
    if (equals < 1 || equals == text.length() - 1) {
      throw new IllegalArgumentException("not SITE=FILE");
    }
    return Map.entry(text.substring(0, equals), Path.of(text.substring(equals + 1)));
  }
}
