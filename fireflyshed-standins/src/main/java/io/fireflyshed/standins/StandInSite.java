package io.fireflyshed.standins;

import io.fireflyshed.standins.desk.DeskStandIn;
import io.fireflyshed.standins.engine.EngineFleet;
import io.fireflyshed.standins.engine.EngineSettings;
import io.fireflyshed.standins.platform.PlatformStandIn;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Runs the stand-ins of a whole site in one process: the platform, the engines and a desk. Thread
 * safe after {@link #start} has returned.
 */
public final class StandInSite implements AutoCloseable {

  private static final int ACCELERATORS_PER_INSTANCE = 8;

  private final PlatformStandIn platform = new PlatformStandIn();
  private final DeskStandIn desk = new DeskStandIn();
  private final EngineFleet engines;
  private final String host;

  /**
   * Creates a site, which is idle until it is started.
   *
   * @param host the host name or address that all stand-ins listen on, not null
   * @param settings the settings of the engines, not null
   */
  public StandInSite(String host, EngineSettings settings) {
    this.host = host;
    this.engines = new EngineFleet(settings);
  }

  /**
   * Starts the engines, a desk and the platform, which lists the engines and, in each availability
   * zone, the desk as an instance.
   *
   * @param platformPort the port of the platform, or 0 for any free port
   * @param zones the availability zones, not null
   * @param domainsPerZone the number of fabric domains in each availability zone, positive
   * @param instancesPerDomain the number of instances with engines in each domain, positive
   * @param deskService the name of the service of the desk, not null
   * @return the bound address of the platform, never null
   */
  public InetSocketAddress start(
      int platformPort,
      List<AvailabilityZone> zones,
      int domainsPerZone,
      int instancesPerDomain,
      ServiceName deskService) {
    for (AvailabilityZone zone : zones) {
      for (int index = 0; index < domainsPerZone; index++) {
        startDomain(zone, new FabricDomain(zone + "-d" + index), instancesPerDomain);
      }
    }
    InetSocketAddress deskAddress = desk.start(new InetSocketAddress(host, 0));
    for (AvailabilityZone zone : zones) {
      registerInstance(
          "desk-" + zone,
          deskAddress,
          zone,
          new FabricDomain(zone + "-d0"),
          Optional.of(deskService));
    }
    return platform.start(new InetSocketAddress(host, platformPort));
  }

  /**
   * Gets the stand-in of the platform.
   *
   * @return the stand-in, never null
   */
  public PlatformStandIn getPlatform() {
    return platform;
  }

  /**
   * Gets the stand-ins of the engines.
   *
   * @return the stand-ins, never null
   */
  public EngineFleet getEngines() {
    return engines;
  }

  /**
   * Gets the stand-in of the desk.
   *
   * @return the stand-in, never null
   */
  public DeskStandIn getDesk() {
    return desk;
  }

  @Override
  public void close() {
    platform.close();
    desk.close();
    engines.close();
  }

  private void startDomain(AvailabilityZone zone, FabricDomain domain, int instanceCount) {
    for (int i = 0; i < instanceCount; i++) {
      InstanceId id = new InstanceId(domain + "-i" + i);
      registerInstance(id.value(), engines.start(id, host), zone, domain, Optional.empty());
    }
  }

  private void registerInstance(
      String id,
      InetSocketAddress address,
      AvailabilityZone zone,
      FabricDomain domain,
      Optional<ServiceName> service) {
    platform.putInstance(
        new InstanceRecord(
            new InstanceId(id),
            address,
            zone,
            domain,
            service.isPresent() ? 0 : ACCELERATORS_PER_INSTANCE,
            false,
            service));
  }
}
