package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import io.fireflyshed.daemon.entry.EntryDaemon;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;

/** Runs an entry process until it receives a signal to stop. */
public final class ServeCommand implements Command {

  @Override
  public String getName() {
    return "serve";
  }

  @Override
  public String getSummary() {
    return "Runs an entry process.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return ServeSettings.ALL;
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configure(values.get(ServeSettings.LOG_FORMAT), Level.INFO);
    EntryDaemon daemon = new EntryDaemon(ServeSettings.toDaemonSettings(values));
    ShutdownUtils.runUntilShutdown(
        () -> {
          InetSocketAddress address = daemon.start();
          out.println("entry listening on " + address.getHostString() + ":" + address.getPort());
        },
        signalNanos -> {
          daemon.shutdown().join();
          daemon.close();
        });
    return EXIT_OK;
  }
}
