package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.standins.StandInSite;
import io.fireflyshed.standins.engine.EngineSettings;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ServiceName;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;

/** Runs the stand-ins of a site until the process receives a signal to stop. */
public final class StandInsCommand implements Command {

  static final Setting<Integer> PORT =
      Setting.ofInteger(
          "port",
          0,
          65_535,
          8700,
          "port of the stand-in platform on 127.0.0.1; 0 selects a free one");

  static final Setting<AvailabilityZone> ZONES =
      new Setting<>(
          "zone",
          "a name of letters, digits, dots, dashes or underscores",
          "zone-a,zone-b,zone-c",
          "availability zone; may be repeated",
          false,
          SettingArity.MANY,
          AvailabilityZone::new);

  static final Setting<Integer> DOMAINS =
      Setting.ofInteger("domains", 1, 64, 2, "number of fabric domains in each zone");

  static final Setting<Integer> INSTANCES =
      Setting.ofInteger("instances", 1, 64, 4, "number of engine instances in each fabric domain");

  static final Setting<ServiceName> DESK =
      Setting.of("desk", "a name", "desk", "name of the plain service", ServiceName::new);

  @Override
  public String getName() {
    return "standins";
  }

  @Override
  public String getSummary() {
    return "Runs stand-ins for the platform, the engines and the desk.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(PORT, ZONES, DOMAINS, INSTANCES, DESK);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configure(LogFormat.TEXT, Level.INFO);
    StandInSite site = new StandInSite("127.0.0.1", EngineSettings.ofDefaults());
    InetSocketAddress platform =
        site.start(
            values.get(PORT),
            values.getAll(ZONES),
            values.get(DOMAINS),
            values.get(INSTANCES),
            values.get(DESK));
    out.println("platform listening on 127.0.0.1:" + platform.getPort());
    ShutdownUtils.runUntilShutdown(() -> {}, signalNanos -> site.close());
    return EXIT_OK;
  }
}
