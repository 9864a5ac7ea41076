package io.fireflyshed.daemon.platform;

import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.command.Logging;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.standins.fleet.FleetStandIn;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Runs an entry against stand-ins and sends it requests of each kind.
 *
 * <p>The build uses it to record the classes that an entry loads, which shortens the start of the
 * real one; it also shows that a build works.
 */
public final class RehearseCommand implements Command {

  private static final Setting<Integer> REQUESTS =
      Setting.of("requests", "a whole number", "60", "how many requests to send", Integer::valueOf);

  private static final int ENGINES = 4;
  private static final int DESKS = 2;
  private static final Duration PAUSE = Duration.ofMillis(10);
  private static final Duration READY_PAUSE = Duration.ofMillis(100);
  private static final int READY_TRIES = 100;
  private static final int PARALLEL = 4;
  private static final int OK = 200;

  @Override
  public String getName() {
    return "rehearse";
  }

  @Override
  public String getSummary() {
    return "Runs an entry against stand-ins of the users' platform for a moment.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(REQUESTS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configureEvents();
    try (FleetStandIn fleet = new FleetStandIn(ENGINES, DESKS)) {
      PlatformSettings settings = newSettings(fleet);
      PlatformEntry entry = new PlatformEntry(settings);
      entry.start();
      HttpClient client = HttpClient.create().host("127.0.0.1").port(settings.listen().getPort());
      boolean isServing = awaitServing(client);
      Long served =
          Flux.range(0, values.get(REQUESTS))
              .delayElements(PAUSE)
              .flatMap(i -> send(client, i), PARALLEL)
              .filter(status -> status == OK)
              .count()
              .block();
      out.println("served " + served + " of " + values.get(REQUESTS) + " requests");
      return isServing && served > 0 ? EXIT_OK : EXIT_FAILED;
    }
  }

  private static boolean awaitServing(HttpClient client) throws InterruptedException {
    for (int i = 0; i < READY_TRIES; i++) {
      if (send(client, -i * 3).block() == OK) {
        return true;
      }
      Thread.sleep(READY_PAUSE.toMillis());
    }
    return false;
  }

  private static Mono<Integer> send(HttpClient client, int number) {
    String path = List.of("/chat/x", "/orders/x", "/lookups/x").get(Math.floorMod(number, 3));
    HttpMethod method = path.startsWith("/lookups") ? HttpMethod.GET : HttpMethod.POST;
    HttpClient.RequestSender sender =
        client.headers(h -> addHeaders(h, number, path)).request(method).uri(path);
    HttpClient.ResponseReceiver<?> receiver =
        method.equals(HttpMethod.GET)
            ? sender
            : sender.send(
                Mono.fromSupplier(() -> Unpooled.copiedBuffer("{}", StandardCharsets.UTF_8)));
    return receiver
        .responseSingle(
            (r, body) -> body.asString().defaultIfEmpty("").thenReturn(r.status().code()))
        .onErrorReturn(0);
  }

  private static void addHeaders(HttpHeaders headers, int number, String path) {
    headers.set("Host", FleetStandIn.HOST);
    headers.set("X-Attempt-Id", "r" + number);
    headers.set("X-Deadline-Ms", "2000");
    headers.set("Authorization", "Bearer " + FleetStandIn.KEY);
    if (path.startsWith("/chat")) {
      headers.set("X-Model", FleetStandIn.MODEL);
      headers.set("X-Token-Usage", "100,30");
    }
  }

  static PlatformSettings newSettings(FleetStandIn fleet) {
    return new PlatformSettings(
        "entry-1",
        new AvailabilityZone("a"),
        1,
        true,
        newAddress(),
        newAddress(),
        newAddress(),
        fleet.getStore().getAddress(),
        Duration.ofSeconds(5),
        Duration.ofSeconds(8),
        Duration.ofSeconds(5),
        0.2,
        100,
        Duration.ofSeconds(5));
  }

  private static InetSocketAddress newAddress() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return InetSocketAddress.createUnresolved("127.0.0.1", socket.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException("no free port for the rehearsal", e);
    }
  }
}
