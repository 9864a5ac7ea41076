package io.fireflyshed.daemon.platform;

import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.command.Logging;
import io.fireflyshed.daemon.command.ShutdownUtils;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.transport.log.EventLog;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import sun.misc.Signal;

/** Runs an entry process on the users' platform until it receives a signal to stop. */
public final class PlatformEntryCommand implements Command {

  private static final Setting<Path> CONFIG =
      Setting.of(
          "config",
          "a path",
          "/etc/fireflyshed/boot.toml",
          "settings file written by the platform",
          Path::of);

  @Override
  public String getName() {
    return "entry";
  }

  @Override
  public String getSummary() {
    return "Runs an entry process on the users' platform.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(CONFIG);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configureEvents();
    PlatformSettings settings;
    try {
      settings = PlatformSettings.read(values.get(CONFIG));
    } catch (IOException | IllegalArgumentException e) {
      out.println(
          "fireflyshed: cannot use the settings file "
              + values.get(CONFIG)
              + ": "
              + e.getMessage());
      return EXIT_USAGE;
    }
    // The platform sends this signal after changing the settings file. Everything that can change
    // at run time is read from the store; the default action would end the process.
    Signal.handle(new Signal("HUP"), signal -> new EventLog("entry").info("reload requested"));
    PlatformEntry entry = new PlatformEntry(settings);
    ShutdownUtils.runUntilShutdown(entry::start, entry::stop);
    return EXIT_OK;
  }
}
