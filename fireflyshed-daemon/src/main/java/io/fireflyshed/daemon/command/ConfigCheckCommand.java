package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import java.io.PrintStream;
import java.util.List;

/** Checks configuration files without the platform. */
public final class ConfigCheckCommand extends ConfigCommand {

  @Override
  public String getName() {
    return "config check";
  }

  @Override
  public String getSummary() {
    return "Checks configuration files.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(ConfigSettings.BASE, ConfigSettings.OVERLAY, ConfigSettings.JSON);
  }

  @Override
  int runConfig(SettingValues values, PrintStream out) {
    ConfigurationDocument document = ConfigSettings.readDocument(values);
    boolean isJson = values.get(ConfigSettings.JSON);
    out.println(
        isJson
            ? "{\"problems\":[]}"
            : "no problems; sites: " + String.join(", ", document.getSites()));
    return EXIT_OK;
  }
}
