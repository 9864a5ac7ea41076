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

/** Runs the stand-ins of a whole site in one process. Thread safe after it has started. */
public final class StandInSite implements AutoCloseable {

  private static final int ACCELERATORS_PER_INSTANCE = 8;

  private final PlatformStandIn platform = new PlatformStandIn();
  private final DeskStandIn desk = new DeskStandIn();
  private final EngineFleet engines;
  private final String host;

  /**
   * Creates a site that is not started.
   *
   * @param host the host to listen on, not null
   * @param settings the properties of its engines, not null
   */
  public StandInSite(String host, EngineSettings settings) {
    this.host = host;
    this.engines = new EngineFleet(settings);
  }

  /**
   * Starts the platform, the engines and one desk in each zone.
   *
   * @param platformPort the port of the platform; 0 takes a free one
   * @param zones the availability zones, not null
   * @param domainsPerZone the number of fabric domains in each zone, positive
   * @param instancesPerDomain the number of engine instances in each domain, positive
   * @param deskService the name of the plain service, not null
   * @return the address of the platform, never null
   */
  public InetSocketAddress start(
      int platformPort,
      List<AvailabilityZone> zones,
      int domainsPerZone,
      int instancesPerDomain,
      ServiceName deskService) {
    for (AvailabilityZone zone : zones) {
      for (int d = 0; d < domainsPerZone; d++) {
        startDomain(zone, new FabricDomain(zone + "-d" + d), instancesPerDomain);
      }
    }
    InetSocketAddress deskAddress = desk.start(new InetSocketAddress(host, 0));
    for (AvailabilityZone zone : zones) {
      put(
          "desk-" + zone,
          deskAddress,
          zone,
          new FabricDomain(zone + "-d0"),
          Optional.of(deskService));
    }
    return platform.start(new InetSocketAddress(host, platformPort));
  }

  /**
   * Gets the platform.
   *
   * @return the platform, never null
   */
  public PlatformStandIn getPlatform() {
    return platform;
  }

  /**
   * Gets the engines.
   *
   * @return the engines, never null
   */
  public EngineFleet getEngines() {
    return engines;
  }

  /**
   * Gets the desk.
   *
   * @return the desk, never null
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

  private void startDomain(AvailabilityZone zone, FabricDomain domain, int instances) {
    for (int i = 0; i < instances; i++) {
      InstanceId id = new InstanceId(domain + "-i" + i);
      put(id.value(), engines.start(id, host), zone, domain, Optional.empty());
    }
  }

  private void put(
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
