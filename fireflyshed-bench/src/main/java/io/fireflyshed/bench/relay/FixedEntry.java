package io.fireflyshed.bench.relay;

import io.fireflyshed.coordination.poison.PoisonList;
import io.fireflyshed.coordination.poison.PoisonSettings;
import io.fireflyshed.coordination.retry.RetryPolicy;
import io.fireflyshed.coordination.routing.LeastInFlightRouter;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.engine.HttpModelEngine;
import io.fireflyshed.transport.entry.AccountDirectory;
import io.fireflyshed.transport.entry.CompletionHandler;
import io.fireflyshed.transport.entry.CompletionRunner;
import io.fireflyshed.transport.entry.EntrySettings;
import io.fireflyshed.transport.entry.FixedAccountDirectory;
import io.fireflyshed.transport.entry.PoisonGuard;
import io.fireflyshed.transport.entry.StreamSettings;
import io.fireflyshed.transport.entry.UnlimitedAdmission;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.trace.RequestTracer;
import io.opentelemetry.api.OpenTelemetry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Runs the request path of an entry with one replica that is always open. */
final class FixedEntry implements AutoCloseable {

  static final String KEY = "bench-key";

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final HttpCaller caller = new HttpCaller("bench");
  private DisposableServer server;

  InetSocketAddress start(InetSocketAddress engine) {
    MonotonicClock clock = MonotonicClock.system();
    ServingView view = newView(engine, clock.nanoTime() + Duration.ofDays(1).toNanos());
    RequestTracer tracer = new RequestTracer(OpenTelemetry.noop());
    EntrySettings settings =
        new EntrySettings(
            new InetSocketAddress("127.0.0.1", 0),
            MAX_BODY_BYTES,
            Duration.ofSeconds(10),
            Duration.ZERO,
            Duration.ofSeconds(1));
    ModelEngine client = new HttpModelEngine(caller, Duration.ofSeconds(1));
    CompletionRunner runner =
        new CompletionRunner(
            () -> view,
            new LeastInFlightRouter(),
            client,
            tracer,
            clock,
            StreamSettings.ofDefaults(),
            RetryPolicy.ofDefaults(clock, RandomSource.XO_RO_SHI_RO_128_PP.create()),
            new PoisonGuard(
                new PoisonList(PoisonSettings.ofDefaults()),
                new LonePeerBus(new PeerId("bench")),
                clock));
    AccountDirectory accounts = new FixedAccountDirectory(Map.of("bench", KEY));
    CompletionHandler handler =
        new CompletionHandler(
            settings, accounts, () -> view, new UnlimitedAdmission(), runner, tracer);
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes.post(
                        "/v1/completions", (q, r) -> handler.handle(CompletionKind.TEXT, q, r)))
            .bindNow();
    return (InetSocketAddress) server.address();
  }

  @Override
  public void close() {
    server.disposeNow();
    caller.close();
  }

  private static ServingView newView(InetSocketAddress engine, long expiryNanos) {
    InstanceRecord head =
        new InstanceRecord(
            new InstanceId("i1"),
            engine,
            new AvailabilityZone("zone-a"),
            new FabricDomain("d1"),
            8,
            false,
            Optional.empty());
    Assignment replica = new Assignment(new ReplicaId("r1"), SERVICE, 1, List.of(head));
    return new ServingView(
        Map.of(SERVICE, new ModelServiceSpec(SERVICE, "cards-1", 1, 1)),
        Map.of(SERVICE, List.of(new OpenReplica(replica, expiryNanos))),
        Map.of());
  }
}
