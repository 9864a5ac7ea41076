package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

/** Shows an accepted version of the configuration. */
public final class ConfigShowCommand extends ConfigCommand {

  private static final Setting<String> OF_SITE =
      Setting.of(
          "of-site",
          "a site, or empty for the base and all overlays",
          "",
          "site whose overlay to merge into the base",
          s -> s);

  @Override
  public String getName() {
    return "config show";
  }

  @Override
  public String getSummary() {
    return "Shows an accepted version of the configuration.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(ConfigSettings.VERSION, OF_SITE, ServeSettings.PLATFORM, ConfigSettings.JSON);
  }

  @Override
  int runConfig(SettingValues values, PrintStream out) {
    try (PlatformStores platform = new PlatformStores(values.get(ServeSettings.PLATFORM))) {
      Optional<ConfigurationRecord> record =
          platform.readRecord(values.get(ConfigSettings.VERSION));
      if (record.isEmpty()) {
        out.println("version not found");
        return EXIT_FAILED;
      }
      String text = platform.getStore().readBody(record.get()).join();
      String site = values.get(OF_SITE);
      JsonNode tree =
          site.isEmpty()
              ? JsonUtils.parse(text)
              : ConfigurationDocument.fromText(text).resolve(site);
      if (values.get(ConfigSettings.JSON)) {
        out.println(JsonUtils.toText(toJson(record.get()).set("configuration", tree)));
        return EXIT_OK;
      }
      out.println("# " + toLine(record.get()));
      out.print(toYaml(tree));
      return EXIT_OK;
    }
  }

  private static String toYaml(JsonNode tree) {
    try {
      return new YAMLMapper().writeValueAsString(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the configuration as YAML", e);
    }
  }
}
