package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.configuration.ConfigurationFollower;
import io.fireflyshed.coordination.configuration.FollowerSettings;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.configuration.ServiceConfiguration;
import io.fireflyshed.state.configuration.SiteConfiguration;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.transport.configuration.ConfigurationAgent;
import io.fireflyshed.transport.configuration.ConfigurationPeers;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.configuration.SiteConfigurationHolder;
import io.fireflyshed.transport.control.ControlLoop;
import io.fireflyshed.transport.entry.AccountDirectory;
import io.fireflyshed.transport.entry.ConfiguredAccountDirectory;
import io.fireflyshed.transport.entry.LeasedOrderPlacer;
import io.fireflyshed.transport.entry.OrderPlacer;
import io.fireflyshed.transport.log.LoggingScheduler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the configuration history and applies each version to an entry process. */
final class ConfigurationModule implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationModule.class);
  private static final long TICK_MILLIS = 500;

  private final SiteConfigurationHolder holder;
  private final ConfigurationAgent agent;
  private final ScheduledExecutorService executor;
  private final MonotonicClock clock;
  private volatile boolean isUnconfigured;

  ConfigurationModule(
      String site,
      PeerId self,
      ConfigurationStore store,
      ConfigurationPeers peers,
      MonotonicClock clock) {
    this.clock = clock;
    holder = new SiteConfigurationHolder(site);
    executor = new LoggingScheduler("configuration");
    ConfigurationFollower follower =
        new ConfigurationFollower(
            self,
            FollowerSettings.ofDefaults(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(),
            clock.nanoTime());
    agent = new ConfigurationAgent(follower, store, peers, clock, executor, holder);
  }

  /**
   * Starts following the history and applies each version to the control loop. The control loop
   * gets the fallback services once it is known that no version was ever accepted.
   */
  void start(ControlLoop control, List<ModelServiceSpec> fallbackServices) {
    control.setServices(List.of());
    holder.addListener(c -> apply(control, c));
    Runnable step =
        () -> {
          tick();
          useFallbackServices(control, fallbackServices);
        };
    executor.scheduleAtFixedRate(step, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  ConfigurationAgent getAgent() {
    return agent;
  }

  SiteConfigurationHolder getHolder() {
    return holder;
  }

  AccountDirectory newAccountDirectory(AccountDirectory fallback) {
    return new ConfiguredAccountDirectory(
        holder, key -> isUnconfigured ? fallback.findAccount(key) : Optional.empty());
  }

  OrderPlacer newOrderPlacer(OrderPlacer placer) {
    return new LeasedOrderPlacer(placer, () -> isUnconfigured || agent.isCurrent());
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void tick() {
    try {
      agent.tick();
    } catch (RuntimeException e) {
      LOG.error("configuration: step failed", e);
    }
  }

  private void useFallbackServices(ControlLoop control, List<ModelServiceSpec> fallbackServices) {
    if (!isUnconfigured && agent.getStatus().isUnconfigured(clock.nanoTime())) {
      LOG.info(
          "configuration: no version was ever applied; using the services and accounts"
              + " from the settings");
      isUnconfigured = true;
      control.setServices(fallbackServices);
    }
  }

  private void apply(ControlLoop control, SiteConfiguration configuration) {
    isUnconfigured = false;
    control.setServices(
        configuration.services().values().stream().map(ServiceConfiguration::spec).toList());
    control.setDrained(configuration.drains().keySet());
  }
}
