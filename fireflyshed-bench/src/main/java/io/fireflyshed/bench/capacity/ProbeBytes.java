package io.fireflyshed.bench.capacity;

import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.transport.engine.HttpModelEngine;
import io.fireflyshed.transport.http.HttpCaller;
import io.netty.handler.traffic.GlobalTrafficShapingHandler;
import io.netty.handler.traffic.TrafficCounter;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Measures the bytes of probes, both ways, without the headers of TCP and IP. */
final class ProbeBytes implements SlopeMeasurement {

  private static final String HEALTH =
      "{\"instance\":\"zone-a-d100-i31\",\"bootId\":\"0f8fad5b-d9cb-469f-a165-70867728950e\","
          + "\"replica\":\"cards.zone-a.100\",\"generation\":12,\"fence\":12,\"ready\":true,"
          + "\"leaving\":false}";

  @Override
  public String getName() {
    return "probe-bytes";
  }

  @Override
  public String getUnit() {
    return "bytes";
  }

  @Override
  public List<Integer> getSizes() {
    return List.of(100, 300, 1000);
  }

  @Override
  public double measure(int size) {
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    GlobalTrafficShapingHandler counter = new GlobalTrafficShapingHandler(timer, 0);
    DisposableServer server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .doOnChannelInit((o, channel, a) -> channel.pipeline().addFirst(counter))
            .route(
                routes -> routes.get("/control/health", (q, r) -> r.sendString(Mono.just(HEALTH))))
            .bindNow();
    try (HttpCaller caller = new HttpCaller("probe")) {
      probe(new HttpModelEngine(caller, Duration.ofSeconds(5)), server, size);
      TrafficCounter traffic = counter.trafficCounter();
      return traffic.cumulativeReadBytes() + traffic.cumulativeWrittenBytes();
    } finally {
      server.disposeNow();
      counter.release();
      timer.shutdownNow();
    }
  }

  private static void probe(ModelEngine engine, DisposableServer server, int count) {
    InstanceRecord instance =
        new InstanceRecord(
            new InstanceId("i1"),
            new InetSocketAddress("127.0.0.1", server.port()),
            new AvailabilityZone("zone-a"),
            new FabricDomain("d1"),
            1,
            false,
            Optional.empty());
    for (int i = 0; i < count; i++) {
      engine.probe(instance).join();
    }
  }
}
