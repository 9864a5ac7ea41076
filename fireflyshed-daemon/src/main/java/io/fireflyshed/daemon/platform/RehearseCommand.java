package io.fireflyshed.daemon.platform;

import io.fireflyshed.coordination.placement.PlacementBasis;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.command.Logging;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.standins.fleet.FleetCaller;
import io.fireflyshed.standins.fleet.FleetStandIn;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.transport.http.LocalPortUtils;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import reactor.core.publisher.Flux;

/**
 * Runs an entry against stand-ins and sends it requests of each kind.
 *
 * <p>The build runs this command to archive the classes that an entry loads, which shortens the
 * start of a deployed entry. A successful run also shows that the build works.
 */
public final class RehearseCommand implements Command {

  private static final Setting<Integer> REQUESTS =
      Setting.of(
          "requests", "a whole number", "60", "number of requests to send", Integer::valueOf);

  private static final int ENGINES = 4;
  private static final int DESKS = 2;
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(10);
  private static final Duration READY_POLL_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_READY_POLLS = 100;
  private static final int MAX_CONCURRENT = 4;
  private static final int OK = 200;

  @Override
  public String getName() {
    return "rehearse";
  }

  @Override
  public String getSummary() {
    return "Runs an entry against stand-ins of the users' platform and sends it requests.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(REQUESTS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configureEvents();
    try (FleetStandIn fleet = new FleetStandIn(ENGINES, DESKS)) {
      PlatformSettings settings = newSettings(fleet, "entry-1");
      PlatformEntry entry = new PlatformEntry(settings);
      entry.start();
      FleetCaller caller = new FleetCaller(settings.listen());
      boolean isServing = awaitServing(caller);
      Long served =
          Flux.range(0, values.get(REQUESTS))
              .delayElements(REQUEST_INTERVAL)
              .flatMap(i -> caller.send(i), MAX_CONCURRENT)
              .filter(status -> status == OK)
              .count()
              .block();
      out.println("served " + served + " of " + values.get(REQUESTS) + " requests");
      boolean isRelaying = RelayRehearsal.run();
      out.println("relayed a request: " + isRelaying);
      return isServing && served > 0 && isRelaying ? EXIT_OK : EXIT_FAILED;
    }
  }

  private static boolean awaitServing(FleetCaller caller) throws InterruptedException {
    for (int i = 0; i < MAX_READY_POLLS; i++) {
      if (caller.send(-i * FleetCaller.KINDS).block() == OK) {
        return true;
      }
      Thread.sleep(READY_POLL_INTERVAL.toMillis());
    }
    return false;
  }

  static PlatformSettings newSettings(FleetStandIn fleet, String node) {
    return newSettings(fleet, node, OptionalLong.empty());
  }

  static PlatformSettings newSettings(FleetStandIn fleet, String node, OptionalLong memoryBytes) {
    return new PlatformSettings(
        node,
        new AvailabilityZone("a"),
        0,
        1,
        true,
        LocalPortUtils.findFreeAddress(),
        LocalPortUtils.findFreeAddress(),
        LocalPortUtils.findFreeAddress(),
        Optional.of(LocalPortUtils.findFreeAddress()),
        fleet.getStore().getAddress(),
        Duration.ofSeconds(5),
        Duration.ofSeconds(8),
        0.2,
        100,
        Duration.ofSeconds(10),
        Duration.ofSeconds(5),
        1,
        0,
        1,
        memoryBytes,
        false,
        PlacementBasis.REQUESTS);
  }
}
