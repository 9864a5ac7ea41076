package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.List;

/** Prints the effective settings of an entry process. */
public final class SettingsCommand implements Command {

  @Override
  public String getName() {
    return "settings";
  }

  @Override
  public String getSummary() {
    return "Prints the effective settings of the serve command with secrets masked.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return ServeSettings.ALL;
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    values.toLines().forEach(out::println);
    return EXIT_OK;
  }
}
