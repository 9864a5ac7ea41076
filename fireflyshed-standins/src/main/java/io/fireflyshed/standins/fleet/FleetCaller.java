package io.fireflyshed.standins.fleet;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Sends streams, orders and lookups to an entry that serves a {@link FleetStandIn}. Thread safe.
 */
public final class FleetCaller {

  /**
   * The number of kinds of requests. {@link #send} requests a stream for each multiple of this
   * number.
   */
  public static final int KINDS = 3;

  private static final List<String> PATHS = List.of("/chat/x", "/orders/x", "/lookups/x");

  private final HttpClient client;

  /**
   * Creates a caller of an entry.
   *
   * @param entry the address of the entry, not null
   */
  public FleetCaller(InetSocketAddress entry) {
    client = HttpClient.create().host(entry.getHostString()).port(entry.getPort());
  }

  /**
   * Sends a request and reads the complete response.
   *
   * @param number the number of the request, which determines its kind and its attempt id
   * @return the HTTP status of the response, or 0 if there was no complete response; never null
   */
  public Mono<Integer> send(int number) {
    String path = PATHS.get(Math.floorMod(number, KINDS));
    HttpMethod method = path.startsWith("/lookups") ? HttpMethod.GET : HttpMethod.POST;
    HttpClient.RequestSender sender =
        client.headers(headers -> addHeaders(headers, number, path)).request(method).uri(path);
    HttpClient.ResponseReceiver<?> receiver =
        method.equals(HttpMethod.GET)
            ? sender
            : sender.send(
                Mono.fromSupplier(() -> Unpooled.copiedBuffer("{}", StandardCharsets.UTF_8)));
    return receiver
        .responseSingle(
            (response, body) ->
                body.asString().defaultIfEmpty("").thenReturn(response.status().code()))
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
