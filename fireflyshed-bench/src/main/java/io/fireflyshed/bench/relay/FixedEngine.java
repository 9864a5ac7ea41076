package io.fireflyshed.bench.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.stream.IntStream;
import reactor.core.publisher.Flux;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Answers every completion with the same events, at a fixed interval or as fast as they go. */
final class FixedEngine implements AutoCloseable {

  private final byte[][] frames;
  private final Duration interval;
  private DisposableServer server;

  FixedEngine(int tokens, Duration interval) {
    this.frames =
        IntStream.rangeClosed(0, tokens).mapToObj(i -> newFrame(i, tokens)).toArray(byte[][]::new);
    this.interval = interval;
  }

  InetSocketAddress start() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes.post(
                        "/v1/completions",
                        (request, response) ->
                            request
                                .receive()
                                .then()
                                .thenEmpty(
                                    response
                                        .header("content-type", "text/event-stream")
                                        .send(newStream(), frame -> true))))
            .bindNow();
    return (InetSocketAddress) server.address();
  }

  /** Gets the size of a whole answer. */
  long getBytes() {
    return Arrays.stream(frames).mapToLong(f -> f.length).sum();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Flux<ByteBuf> newStream() {
    Flux<ByteBuf> stream = Flux.fromArray(frames).map(Unpooled::wrappedBuffer);
    return interval.isZero() ? stream : stream.delayElements(interval);
  }

  private static byte[] newFrame(int offset, int tokens) {
    String text =
        offset == tokens
            ? "data: [DONE]\n\n"
            : "id: "
                + offset
                + "\ndata: {\"id\":\"req-0\",\"object\":\"text_completion\",\"model\":\"cards\","
                + "\"choices\":[{\"index\":0,\"text\":\" amber\",\"finish_reason\":null}]}\n\n";
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
