package io.fireflyshed.daemon.soak;

import io.fireflyshed.daemon.command.Logging;
import io.fireflyshed.daemon.command.ShutdownUtils;
import io.fireflyshed.daemon.platform.PlatformEntry;
import io.fireflyshed.platform.PlatformSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Runs an entry as {@link io.fireflyshed.daemon.platform.PlatformMain} does, except that its
 * metrics have a free port, so that several entries can share an address.
 */
public final class SharedAddressMain {

  private SharedAddressMain() {}

  /**
   * Runs an entry until it gets a signal to stop.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Logging.configureEvents();
    Path path = Path.of(System.getenv(PlatformSettings.PATH_VARIABLE));
    PlatformEntry entry = new PlatformEntry(withFreeMetricsPort(PlatformSettings.read(path)));
    ShutdownUtils.runUntilShutdown(entry::start, entry::stop);
  }

  private static PlatformSettings withFreeMetricsPort(PlatformSettings settings) {
    return new PlatformSettings(
        settings.node(),
        settings.zone(),
        settings.zoneRank(),
        settings.zones(),
        settings.isFirstStart(),
        settings.listen(),
        settings.readinessListen(),
        InetSocketAddress.createUnresolved(settings.metricsListen().getHostString(), 0),
        settings.peerListen(),
        settings.store(),
        settings.maxKeyAge(),
        settings.grace(),
        settings.repeatRatio(),
        settings.repeatSlack(),
        settings.repeatWindow(),
        settings.loadWindow(),
        settings.coldOvershoot(),
        settings.coldSlack(),
        settings.cores(),
        settings.memoryBytes(),
        settings.isUsageFollowed(),
        settings.placementBasis());
  }
}
