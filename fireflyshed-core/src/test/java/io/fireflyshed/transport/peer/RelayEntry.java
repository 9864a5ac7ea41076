package io.fireflyshed.transport.peer;

import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.LoadReport;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayOffer;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.http.HeldBody;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Flux;

/** One entry process with its relay, for tests. */
final class RelayEntry {

  static final Duration TIMEOUT = RelayFixtures.TIMEOUT;
  static final AvailabilityZone ZONE = new AvailabilityZone("a");
  static final long SEED = 11;
  static final long BUDGET_BYTES = 24 << 20;

  /** Longer than the default, since tests run beside other processes. */
  static final RelayTiming TIMING =
      new RelayTiming(
          Duration.ofMillis(2000),
          Duration.ofMillis(2500),
          Duration.ofMillis(200),
          Duration.ofMillis(2000));

  final PeerId id;
  final SimpleMeterRegistry metrics = new SimpleMeterRegistry();

  /** The memory of the entry, which is also its limit. */
  final ByteBudget budget =
      new ByteBudget(BUDGET_BYTES, MonotonicClock.system(), ByteBudget.Listener.none());

  final List<EntryPeer> peers = new CopyOnWriteArrayList<>();
  final List<RelayedRequest> requests = new CopyOnWriteArrayList<>();

  /** The bodies of the requests, which end with them. */
  final List<byte[]> bodies = new CopyOnWriteArrayList<>();

  final AtomicInteger refreshes = new AtomicInteger();
  final EntryRelay relay;
  final InetSocketAddress address;
  volatile Function<RelayOffer, Optional<Duration>> admission = o -> Optional.empty();
  volatile Function<RelayedRequest, Flux<ResponsePart>> forwarder = RelayEntry::answer;
  final List<CrashReport> crashReports = Collections.synchronizedList(new ArrayList<>());
  volatile Function<LoadReport, CompletableFuture<FleetLoad>> loads =
      report -> CompletableFuture.completedFuture(FleetLoad.NONE);
  volatile Function<TableQuestion, CompletableFuture<TableChanges>> tables =
      question -> CompletableFuture.failedFuture(new IllegalStateException("no tables"));

  RelayEntry(String name) {
    id = new PeerId(name);
    PeerSettings settings = new PeerSettings(id, ZONE, new InetSocketAddress("127.0.0.1", 0));
    relay =
        new EntryRelay(
            settings,
            TIMING,
            () -> peers,
            refreshes::incrementAndGet,
            new EntryServices(
                offer -> admission.apply(offer),
                request -> {
                  requests.add(request);
                  bodies.add(copyBody(request));
                  return forwarder.apply(request);
                },
                question -> tables.apply(question),
                report -> loads.apply(report),
                crashReports::add),
            budget,
            MonotonicClock.system(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(SEED),
            metrics);
    address = relay.start();
  }

  private static byte[] copyBody(RelayedRequest request) {
    HeldBody body = request.routed().body();
    return body.copyBytes(0, body.getLength()).orElseThrow();
  }

  /** Answers with the body of the request in chunks of different lengths. */
  static Flux<ResponsePart> answer(RelayedRequest request) {
    byte[] body = copyBody(request);
    List<ResponsePart> parts = new ArrayList<>();
    parts.add(RelayFixtures.newHead(request.routed().request().id()));
    int length = 1;
    for (int start = 0; start < body.length; start += length, length = length * 3 + 1) {
      parts.add(
          new ResponsePart.BodyChunk(
              java.util.Arrays.copyOfRange(body, start, Math.min(body.length, start + length))));
    }
    return Flux.fromIterable(parts);
  }

  void addPeer(RelayEntry other) {
    addPeer(other.id.value(), other.address);
  }

  void addPeer(String name, InetSocketAddress peerAddress) {
    peers.add(new EntryPeer(new PeerId(name), ZONE, peerAddress, 0));
  }

  List<ResponsePart> relay(String requestId) {
    return relay.relay(RelayFixtures.newRequest(requestId)).collectList().block(TIMEOUT);
  }

  ForwardException fail(RelayedRequest request) {
    return expectThrows(
        ForwardException.class, () -> relay.relay(request).collectList().block(TIMEOUT));
  }

  ForwardException fail(String requestId) {
    return fail(RelayFixtures.newRequest(requestId));
  }

  double count(String name, String tag, String value) {
    io.micrometer.core.instrument.Counter counter = metrics.find(name).tag(tag, value).counter();
    return counter == null ? 0 : counter.count();
  }
}
