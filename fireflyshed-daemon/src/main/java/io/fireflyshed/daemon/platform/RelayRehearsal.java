package io.fireflyshed.daemon.platform;

import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.protocol.traffic.PromptDescriptor;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.WeightedService;
import io.fireflyshed.transport.forward.CallerLink;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.forward.RoutedRequest;
import io.fireflyshed.transport.http.HeldBody;
import io.fireflyshed.transport.log.EventLog;
import io.fireflyshed.transport.peer.EntryRelay;
import io.fireflyshed.transport.peer.EntryServices;
import io.fireflyshed.transport.peer.PeerSettings;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Flux;

/**
 * Relays a request from one entry to another and asks it questions, so that the classes of both are
 * archived.
 */
final class RelayRehearsal {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final String TABLE = "table";
  private static final TableChanges CHANGES =
      new TableChanges(
          1,
          0,
          false,
          List.of(new Row(new RowKey(TABLE, "one"), 1, "value")),
          Set.of(new RowKey(TABLE, "two")));
  private static final FleetLoad LOAD =
      new FleetLoad(Map.of(new InstanceId("target"), new FleetLoad.TargetRequests(1, 1, 1, 1)), 1);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** The first offer may be too late on a busy machine, since it loads the classes. */
  private static final int MAX_ATTEMPTS = 5;

  /** The first pause of an entry after a failed offer. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(600);

  private RelayRehearsal() {}

  /** Relays a request and returns whether its response was complete. */
  static boolean run() throws InterruptedException {
    MeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    EventLog log = new EventLog("rehearsal");
    try (EntryRelay serving = newRelay("entry-2", List.of(), metrics)) {
      EntryPeer peer = new EntryPeer(new PeerId("entry-2"), ZONE, serving.start(), 0);
      try (EntryRelay sending = newRelay("entry-1", List.of(peer), metrics)) {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
          try {
            boolean isRelayed =
                sending.relay(newRequest()).collectList().block(TIMEOUT).size() == 2;
            return isRelayed && isAnswered(sending, peer);
          } catch (ForwardException e) {
            log.info("relay failed", "error", e.getMessage());
            Thread.sleep(RETRY_DELAY.toMillis());
          }
        }
        return false;
      } finally {
        serving.stopAccepting();
        serving.awaitIdle(TIMEOUT).join();
      }
    }
  }

  /** Asks an entry for a table and tells it load, and returns whether the answers are complete. */
  private static boolean isAnswered(EntryRelay sending, EntryPeer peer) {
    TableChanges changes = sending.ask(peer, new TableQuestion(TABLE, 0, false), TIMEOUT).join();
    FleetLoad load = sending.ask(peer, LOAD, false, TIMEOUT).join();
    sending.write(peer, new CrashReport(Map.of(), Set.of(), Set.of()), TIMEOUT).join();
    return changes.equals(CHANGES) && load.equals(LOAD);
  }

  private static EntryRelay newRelay(String name, List<EntryPeer> peers, MeterRegistry metrics) {
    return new EntryRelay(
        new PeerSettings(new PeerId(name), ZONE, new InetSocketAddress("127.0.0.1", 0)),
        () -> peers,
        new EntryServices(
            offer -> Optional.empty(),
            RelayRehearsal::answer,
            question -> CompletableFuture.completedFuture(CHANGES),
            report -> CompletableFuture.completedFuture(report.load()),
            report -> {}),
        MonotonicClock.system(),
        RandomSource.XO_RO_SHI_RO_128_PP.create(),
        metrics);
  }

  private static Flux<ResponsePart> answer(RelayedRequest request) {
    TargetAnswer head =
        new TargetAnswer(
            200,
            new DefaultHttpHeaders().add("a", "b"),
            Optional.of(request.routed().request().id()),
            true,
            false,
            Optional.empty(),
            OptionalDouble.empty());
    HeldBody body = request.routed().body();
    byte[] bytes = body.copyBytes(0, body.getLength()).orElseThrow();
    return Flux.just(new ResponsePart.Head(head), new ResponsePart.BodyChunk(bytes));
  }

  private static RelayedRequest newRequest() {
    TrafficRequest request =
        new TrafficRequest(
            "r1",
            HttpMethod.POST,
            "/a/",
            "host",
            new DefaultHttpHeaders().add("a", "b"),
            Optional.empty(),
            Optional.of(TIMEOUT),
            Optional.of(new PromptDescriptor("model", 1, 1, OptionalInt.empty(), List.of("part"))),
            OptionalLong.empty());
    Route route =
        new Route(
            "route",
            "host",
            "/a/",
            RequestKind.STREAM,
            TIMEOUT,
            TIMEOUT,
            0,
            List.of(new WeightedService(SERVICE, 1)),
            1,
            true,
            true);
    RoutedRequest routed =
        new RoutedRequest(
            request,
            HeldBody.of(new byte[100]),
            route,
            SERVICE,
            Optional.of("account"),
            Rank.FIRST,
            1,
            0,
            TIMEOUT,
            CallerLink.none());
    return new RelayedRequest(
        routed, TIMEOUT, OptionalLong.of(1), 1, Set.of(new InstanceId("target")));
  }
}
