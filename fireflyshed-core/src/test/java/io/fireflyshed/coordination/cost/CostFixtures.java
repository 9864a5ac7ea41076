package io.fireflyshed.coordination.cost;

import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.ContextProfile;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RouteTable;
import io.fireflyshed.state.traffic.ServiceProfile;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Creates requests and the engine that runs them. */
public final class CostFixtures {

  static final String POOL = "model";

  /** Prompt tokens and output events of the kinds of requests, which are equally frequent. */
  static final int[][] SIZES = {
    {40, 3}, {120, 12}, {250, 40}, {600, 20}, {900, 30}, {1400, 12}, {2600, 30}, {5880, 78}
  };

  private static final TrafficConfiguration CONFIGURATION = newConfiguration(POOL);

  private CostFixtures() {}

  static TrafficConfiguration newConfiguration() {
    return CONFIGURATION;
  }

  static RequestDescriptor newRequest(String route, int promptTokens, OptionalInt estimate) {
    return newRequest(route, promptTokens, estimate, Duration.ofMillis(400));
  }

  static RequestDescriptor newRequest(
      String route, int promptTokens, OptionalInt estimate, Duration latencyTarget) {
    return new RequestDescriptor(
        route,
        POOL,
        true,
        Rank.FIRST,
        Optional.empty(),
        promptTokens,
        estimate,
        0,
        promptTokens * 4,
        latencyTarget);
  }

  /** Returns a configuration whose only service runs a model of a given name. */
  public static TrafficConfiguration newConfiguration(String model) {
    ServiceName service = new ServiceName("s");
    EngineProfile engine =
        new EngineProfile(
            21,
            Duration.ofNanos(6_450_000),
            Duration.ofNanos(100_000),
            6,
            56_100,
            2048,
            170,
            100,
            8,
            Duration.ofMillis(300),
            Duration.ofMillis(200),
            List.of(new ModelProfile(model, 1, 1, 1, Duration.ZERO, Duration.ZERO)),
            new ContextProfile(1400, Duration.ofNanos(20_000), Duration.ofMillis(3), 200_000));
    return new TrafficConfiguration(
        1,
        new RouteTable(List.of()),
        Map.of(service, new ServiceProfile(service, Optional.empty(), 400, Optional.of(engine))),
        Map.of(),
        false,
        new ClientLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
  }
}
