package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationChange;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.PrintStream;
import java.util.List;
import java.util.SortedMap;

/** Shows what the files of a configuration would change for each site. */
public final class ConfigDiffCommand extends ConfigCommand {

  @Override
  public String getName() {
    return "config diff";
  }

  @Override
  public String getSummary() {
    return "Shows what the files would change for each site.";
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
    try (Platform platform = new Platform(values.get(ServeSettings.PLATFORM))) {
      long asked = values.get(ConfigSettings.VERSION);
      long version = asked == 0 ? platform.readVersion() : asked;
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
      out.println("against version " + version + (changes.isEmpty() ? ": no change" : ""));
      printChanges(changes, out);
      return EXIT_OK;
    }
  }
}
