package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import io.fireflyshed.daemon.entry.EntryDaemon;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.standins.StandInSite;
import io.fireflyshed.standins.engine.EngineSettings;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ServiceName;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Runs an entry and all stand-ins in one process. */
public final class QuickstartCommand implements Command {

  private static final String KEY = "quickstart-key";
  private static final int DOMAINS = 2;
  private static final int INSTANCES_PER_DOMAIN = 5;
  private static final ServiceName DESK = new ServiceName("desk");
  private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");

  static final Setting<Boolean> ONCE =
      Setting.ofFlag(
          "once", "request a stream, an order and a lookup, print the responses and exit");

  @Override
  public String getName() {
    return "quickstart";
  }

  @Override
  public String getSummary() {
    return "Runs an entry and all stand-ins in one process.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(ONCE);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configure(LogFormat.TEXT, Level.WARN);
    StandInSite site = new StandInSite("127.0.0.1", EngineSettings.ofDefaults());
    int platformPort = site.start(0, List.of(ZONE), DOMAINS, INSTANCES_PER_DOMAIN, DESK).getPort();
    EntryDaemon daemon = new EntryDaemon(ServeSettings.toDaemonSettings(newValues(platformPort)));
    InetSocketAddress entry = daemon.start();
    String base = "http://127.0.0.1:" + entry.getPort();
    out.println("platform: http://127.0.0.1:" + platformPort);
    out.println("entry:    " + base);
    try (QuickstartCalls calls = new QuickstartCalls(base, KEY, out)) {
      boolean isServing = calls.awaitServing();
      calls.printCurlCommands();
      if (values.get(ONCE)) {
        return isServing && calls.checkAll() ? EXIT_OK : EXIT_FAILED;
      }
      ShutdownUtils.runUntilShutdown(() -> {}, signalNanos -> {});
      return EXIT_OK;
    } finally {
      daemon.close();
      site.close();
    }
  }

  private static SettingValues newValues(int platformPort) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "--listen", "127.0.0.1:0",
                "--platform", "127.0.0.1:" + platformPort,
                "--zone", ZONE.value(),
                "--account", "quickstart:" + KEY,
                "--model-service", "cards:cards-1:3:2",
                "--model-service", "notes:notes-1:2:2",
                "--probe-interval", "100ms",
                "--refresh-interval", "200ms"));
    return SettingValues.parse(ServeSettings.ALL, arguments, Map.of());
  }
}
