package io.fireflyshed.transport.http;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.NoEffectException;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends HTTP requests and distinguishes errors that occurred before a request was sent from later
 * ones. Thread safe.
 *
 * <p>A request is never sent twice: the automatic retry of the HTTP library is disabled.
 */
public final class HttpCaller implements AutoCloseable {

  private static final int MAX_CONNECTIONS_PER_PEER = 1024;
  private static final int MAX_PENDING_ACQUIRES_PER_PEER = 8192;
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(20);
  private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(5);

  private static final ByteClaim CLAIM = new ByteClaim(ByteUse.CONTROL, Set.of(), true);

  /** Limits a response by default; the largest objects of the platform's store have half of it. */
  public static final int MAX_BODY_BYTES = 16 << 20;

  private static final int NO_CONTENT = 204;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  private final ConnectionProvider connections;
  private final HttpClient client;
  private final HttpClient unpooledClient;
  private final int maxBodyBytes;
  private final ByteBudget budget;
  private final ConnectionReuse reuse;

  /**
   * Creates a caller with a connection pool of its own.
   *
   * @param name the name of the connection pool, not null
   */
  public HttpCaller(String name) {
    this(name, MAX_BODY_BYTES);
  }

  /**
   * Creates a caller with a connection pool of its own.
   *
   * @param name the name of the connection pool, not null
   * @param maxBodyBytes the maximum size of the body of a response in bytes, positive
   */
  public HttpCaller(String name, int maxBodyBytes) {
    this(name, maxBodyBytes, ByteBudget.unlimited(MonotonicClock.system()));
  }

  /**
   * Creates a caller whose responses are limited together.
   *
   * @param name the name of the connection pool, not null
   * @param maxBodyBytes the maximum size of the body of a response in bytes, positive
   * @param budget counts the bytes that this process holds, not null
   */
  public HttpCaller(String name, int maxBodyBytes, ByteBudget budget) {
    this(name, maxBodyBytes, budget, new ConnectionReuse(MonotonicClock.system()));
  }

  /**
   * Creates a caller that shares with others what is known of the peers.
   *
   * @param name the name of the connection pool, not null
   * @param maxBodyBytes the maximum size of the body of a response in bytes, positive
   * @param budget counts the bytes that this process holds, not null
   * @param reuse decides whether a connection to a peer may be used again, not null
   */
  public HttpCaller(String name, int maxBodyBytes, ByteBudget budget, ConnectionReuse reuse) {
    this.maxBodyBytes = maxBodyBytes;
    this.budget = Objects.requireNonNull(budget, "budget");
    this.reuse = Objects.requireNonNull(reuse, "reuse");
    connections =
        ConnectionProvider.builder(name)
            .maxConnections(MAX_CONNECTIONS_PER_PEER)
            .pendingAcquireMaxCount(MAX_PENDING_ACQUIRES_PER_PEER)
            .pendingAcquireTimeout(ACQUIRE_TIMEOUT)
            .maxIdleTime(MAX_IDLE_TIME)
            .build();
    client = configure(HttpClient.create(connections));
    unpooledClient = configure(HttpClient.newConnection());
  }

  private HttpClient configure(HttpClient client) {
    return ResponseGuard.configure(client, reuse)
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  /**
   * Returns the underlying client with a connection for each request, for streamed responses.
   *
   * @return the client, never null
   */
  public HttpClient getUnpooledClient() {
    return unpooledClient;
  }

  /**
   * Sends a request and reads the complete response.
   *
   * @param call the request, not null
   * @return a future of the response with any status; it fails with {@link NoEffectException} if
   *     the request was not sent and with {@link EffectUnknownException} otherwise
   */
  public CompletableFuture<HttpReply> send(HttpCall call) {
    return send(reuse.isPermitted(call.peer()) ? client : unpooledClient, call);
  }

  /**
   * Sends a request on a connection of its own and reads the complete response. On a kept
   * connection, a faulty peer may repeat its response to an earlier request.
   *
   * @param call the request, not null
   * @return a future as that of {@link #send}
   */
  public CompletableFuture<HttpReply> sendOnNewConnection(HttpCall call) {
    return send(unpooledClient, call);
  }

  private CompletableFuture<HttpReply> send(HttpClient sender, HttpCall call) {
    HandOver handOver = new HandOver();
    return sender
        .headers(headers -> call.headers().forEach(headers::set))
        .doOnRequest((request, connection) -> handOver.begin())
        .request(call.method())
        .uri(call.getUrl())
        .send(
            Mono.fromSupplier(
                () -> Unpooled.wrappedBuffer(call.body().getBytes(StandardCharsets.UTF_8))))
        .response(
            (response, body) -> {
              if (!StatusLineUtils.isValid(response)) {
                return Mono.error(new IOException(StatusLineUtils.describe(response)));
              }
              return isDelimited(response)
                  ? readBody(body).map(bytes -> toReply(response, bytes))
                  : Mono.error(new UndelimitedResponseException());
            })
        .single()
        .timeout(call.timeout())
        .onErrorMap(e -> toError(call, handOver.isGivenUp(), e))
        .toFuture();
  }

  private Mono<byte[]> readBody(ByteBufFlux body) {
    return Mono.using(
        () -> budget.tryReserve(CLAIM, 0).orElseThrow(HttpCaller::newNoRoomException),
        reservation ->
            body.asByteArray()
                .reduceWith(
                    ByteArrayOutputStream::new, (bytes, part) -> append(bytes, part, reservation))
                .map(ByteArrayOutputStream::toByteArray),
        ByteBudget.Reservation::close);
  }

  private ByteArrayOutputStream append(
      ByteArrayOutputStream body, byte[] part, ByteBudget.Reservation reservation) {
    if (body.size() + part.length > maxBodyBytes) {
      throw new IllegalStateException("the response exceeds " + maxBodyBytes + " bytes");
    }
    if (!reservation.tryGrow(part.length)) {
      throw newNoRoomException();
    }
    body.write(part, 0, part.length);
    return body;
  }

  private static IllegalStateException newNoRoomException() {
    return new IllegalStateException("no memory is left for the response");
  }

  /** Tests whether a truncated body can be distinguished from a complete one. */
  private static boolean isDelimited(HttpClientResponse response) {
    HttpHeaders headers = response.responseHeaders();
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        || response.status().code() == NO_CONTENT;
  }

  private static HttpReply toReply(HttpClientResponse response, byte[] body) {
    return new HttpReply(response.status().code(), response.responseHeaders(), body);
  }

  private static RuntimeException toError(HttpCall call, boolean isUnsent, Throwable cause) {
    if (isUnsent) {
      return new NoEffectException(
          call.step(), call.getPeerText(), "the request could not be sent to the peer", cause);
    }
    return new EffectUnknownException(call.step(), call.getPeerText(), cause);
  }

  @Override
  public void close() {
    connections.dispose();
  }
}
