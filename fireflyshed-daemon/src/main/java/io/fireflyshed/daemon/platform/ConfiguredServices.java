package io.fireflyshed.daemon.platform;

import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.ColdStartProfile;
import io.fireflyshed.state.traffic.ServiceProfile;
import io.fireflyshed.state.traffic.ServiceRanks;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Looks up what the latest known configuration states on services. Thread safe.
 *
 * @param latest gets the configuration, empty while none is known, not null
 */
record ConfiguredServices(Supplier<Optional<TrafficConfiguration>> latest) {

  /** Returns the path of a service's health check, empty if it has none. */
  Optional<String> getHealthPath(ServiceName service) {
    return latest.get().map(c -> c.services().get(service)).flatMap(ServiceProfile::healthPath);
  }

  /** Returns what the targets of a service bear while they are cold, empty if any rate. */
  Optional<ColdStartProfile> getColdStart(ServiceName service) {
    return latest.get().map(c -> c.services().get(service)).flatMap(ServiceProfile::coldStart);
  }

  /** Returns the services whose requests differ in their ranks. */
  ServiceRanks getRanks() {
    return latest.get().map(TrafficConfiguration::ranks).orElse(ServiceRanks.NONE);
  }
}
