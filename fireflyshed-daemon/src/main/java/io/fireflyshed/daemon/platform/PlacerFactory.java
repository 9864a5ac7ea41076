package io.fireflyshed.daemon.platform;

import io.fireflyshed.coordination.cost.ExpectedWorkCosts;
import io.fireflyshed.coordination.cost.PredictionStatistics;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.PlacementBasis;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Creates the placer of an entry as its settings say. */
final class PlacerFactory {

  private final PlatformSettings settings;
  private final MeterRegistry metrics;

  PlacerFactory(PlatformSettings settings, MeterRegistry metrics) {
    this.settings = settings;
    this.metrics = metrics;
  }

  /**
   * Creates a placer and the gauges of what it knows.
   *
   * @param random breaks ties between targets, not null
   * @param schedule tells when this entry may use targets that limit their requests, not null
   * @param configurations gets the newest configuration, empty until one is known, not null
   */
  TargetPlacer newPlacer(
      UniformRandomProvider random,
      EntrySchedule schedule,
      Supplier<Optional<TrafficConfiguration>> configurations) {
    PlacementSettings placement =
        PlacementSettings.ofDefaults().withBasis(settings.placementBasis());
    TargetPlacer placer;
    if (placement.basis() == PlacementBasis.EXPECTED_WORK) {
      ExpectedWorkCosts costs = new ExpectedWorkCosts(configurations, placement.zonePenalty());
      PredictionStatistics statistics = costs.getStatistics();
      metrics.gauge("fireflyshed.cost.samples", statistics, PredictionStatistics::getSamples);
      metrics.gauge(
          "fireflyshed.cost.error.factor", statistics, PredictionStatistics::getErrorFactor);
      placer = new TargetPlacer(placement, settings.zone(), random, schedule, costs);
    } else {
      placer = new TargetPlacer(placement, settings.zone(), random, schedule);
    }
    metrics.gauge("fireflyshed.limited.targets", placer, TargetPlacer::countLimitedTargets);
    return placer;
  }
}
