package io.fireflyshed.bench.capacity;

import io.fireflyshed.bench.BenchUtils;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.standins.engine.EngineFleet;
import io.fireflyshed.standins.engine.EngineSettings;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.transport.engine.HttpModelEngine;
import io.fireflyshed.transport.http.HttpCaller;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Measures the processor time of probes over loopback, stand-in engine included. */
final class ProbeMeasurement implements SlopeMeasurement {

  private static final InstanceId INSTANCE = new InstanceId("i1");
  private static final int CONCURRENCY = 16;
  private static final int WARM_UP = 40_000;

  @Override
  public String getName() {
    return "probe-cpu";
  }

  @Override
  public String getUnit() {
    return "us";
  }

  @Override
  public List<Integer> getSizes() {
    return List.of(10_000, 20_000, 40_000);
  }

  @Override
  public double measure(int size) {
    EngineSettings settings =
        new EngineSettings(Duration.ZERO, Duration.ofSeconds(1), 1, 1, 0, true);
    try (EngineFleet fleet = new EngineFleet(settings);
        HttpCaller caller = new HttpCaller("probe")) {
      InstanceRecord instance =
          new InstanceRecord(
              INSTANCE,
              fleet.start(INSTANCE, "127.0.0.1"),
              new AvailabilityZone("zone-a"),
              new FabricDomain("d1"),
              1,
              false,
              Optional.empty());
      ModelEngine engine = new HttpModelEngine(caller, Duration.ofSeconds(5));
      probe(engine, instance, WARM_UP);
      double before = BenchUtils.getCpuMicros();
      probe(engine, instance, size);
      return BenchUtils.getCpuMicros() - before;
    }
  }

  private static void probe(ModelEngine engine, InstanceRecord instance, int count) {
    Flux.range(0, count)
        .flatMap(i -> Mono.fromFuture(engine.probe(instance)), CONCURRENCY)
        .blockLast(Duration.ofMinutes(1));
  }
}
