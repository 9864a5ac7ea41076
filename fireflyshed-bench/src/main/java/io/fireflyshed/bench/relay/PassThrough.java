package io.fireflyshed.bench.relay;

import java.net.InetSocketAddress;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.ConnectionProvider;

/** Passes requests and responses through and looks at nothing; the baseline of the relay. */
final class PassThrough implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 1024;

  private final ConnectionProvider connections =
      ConnectionProvider.create("pass-through", MAX_CONNECTIONS);
  private final HttpClient client = HttpClient.create(connections);
  private DisposableServer server;

  InetSocketAddress start(InetSocketAddress engine) {
    String url = "http://127.0.0.1:" + engine.getPort() + "/v1/completions";
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes.post(
                        "/v1/completions",
                        (request, response) ->
                            client
                                .post()
                                .uri(url)
                                .send(request.receive().retain())
                                .response(
                                    (answer, body) ->
                                        response
                                            .header("content-type", "text/event-stream")
                                            .send(body.retain(), frame -> true))))
            .bindNow();
    return (InetSocketAddress) server.address();
  }

  @Override
  public void close() {
    server.disposeNow();
    connections.dispose();
  }
}
