package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Lists the accepted versions of the configuration, newest first. */
public final class ConfigHistoryCommand extends ConfigCommand {

  @Override
  public String getName() {
    return "config history";
  }

  @Override
  public String getSummary() {
    return "Lists the accepted versions of the configuration, newest first.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(ConfigSettings.LIMIT, ServeSettings.PLATFORM, ConfigSettings.JSON);
  }

  @Override
  int runConfig(SettingValues values, PrintStream out) {
    try (PlatformStores platform = new PlatformStores(values.get(ServeSettings.PLATFORM))) {
      List<ConfigurationRecord> records = new ArrayList<>();
      long newest = platform.readNewestVersion();
      long oldest = Math.max(1, newest - values.get(ConfigSettings.LIMIT) + 1);
      for (long version = newest; version >= oldest; version--) {
        platform.readRecord(version).ifPresent(records::add);
      }
      if (values.get(ConfigSettings.JSON)) {
        ArrayNode nodes = JsonUtils.getMapper().createArrayNode();
        records.forEach(r -> nodes.add(toJson(r)));
        out.println(JsonUtils.toText(nodes));
      } else if (records.isEmpty()) {
        out.println("no version was ever applied");
      } else {
        records.forEach(r -> out.println(toLine(r) + " [" + r.attempt() + "]"));
      }
      return EXIT_OK;
    }
  }
}
