package io.fireflyshed.standins.fleet;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** A caller of a {@link FleetStandIn} that sends requests of each kind by turns. Thread safe. */
public final class FleetCaller {

  /** The number of kinds of requests; a multiple of it is a stream. */
  public static final int KINDS = 3;

  private static final List<String> PATHS = List.of("/chat/x", "/orders/x", "/lookups/x");

  private final HttpClient client;

  /**
   * Creates a caller.
   *
   * @param entry the address of the entry, not null
   */
  public FleetCaller(InetSocketAddress entry) {
    client = HttpClient.create().host(entry.getHostString()).port(entry.getPort());
  }

  /**
   * Sends a request and reads its whole answer.
   *
   * @param number decides the kind and the id
   * @return the status, or 0 if no whole answer came
   */
  public Mono<Integer> send(int number) {
    String path = PATHS.get(Math.floorMod(number, KINDS));
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
}
