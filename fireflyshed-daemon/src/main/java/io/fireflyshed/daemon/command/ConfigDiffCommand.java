package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationChange;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.PrintStream;
import java.util.List;
import java.util.SortedMap;

/** Shows the changes that configuration files would make for each site. */
public final class ConfigDiffCommand extends ConfigCommand {

  @Override
  public String getName() {
    return "config diff";
  }

  @Override
  public String getSummary() {
    return "Shows the changes that configuration files would make for each site.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(
        ConfigSettings.BASE,
        ConfigSettings.OVERLAY,
        ConfigSettings.VERSION,
        ServeSettings.PLATFORM,
        ConfigSettings.JSON);
  }

  @Override
  int runConfig(SettingValues values, PrintStream out) {
    ConfigurationDocument after = ConfigSettings.readDocument(values);
    try (PlatformStores platform = new PlatformStores(values.get(ServeSettings.PLATFORM))) {
      long requested = values.get(ConfigSettings.VERSION);
      long version = requested == 0 ? platform.readNewestVersion() : requested;
      SortedMap<String, List<ConfigurationChange>> changes =
          findChanges(platform.readDocument(version), after);
      if (values.get(ConfigSettings.JSON)) {
        out.println(
            JsonUtils.toText(
                JsonUtils.getMapper()
                    .createObjectNode()
                    .put("version", version)
                    .set("sites", toJson(changes))));
        return EXIT_OK;
      }
      out.println("compared with version " + version + (changes.isEmpty() ? ": no changes" : ""));
      printChanges(changes, out);
      return EXIT_OK;
    }
  }
}
