package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.http.HandOver;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls targets over HTTP. Thread safe.
 *
 * <p>Cancelling an answer closes its connection, which makes the target stop its work. Requests
 * that must not run twice get a connection of their own: on a kept connection the target may close
 * it while the request is on its way, and then it is not known whether the request ran.
 */
public final class TargetCaller implements TargetClient, AutoCloseable {

  private static final String STEP = "forward";

  /** The most connections to one target, well below what targets accept from nine entries. */
  private static final int MAX_CONNECTIONS_PER_TARGET = 48;

  /** The longest idle time of a kept connection, below the idle timeouts that are usual. */
  private static final Duration MAX_IDLE = Duration.ofSeconds(4);

  /** The longest wait for a connection; a round trip takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  private final TrafficCodec codec;
  private final ConnectionProvider connections;
  private final HttpClient kept;
  private final HttpClient fresh;

  /**
   * Creates a caller with a connection pool of its own.
   *
   * @param codec translates headers, not null
   */
  public TargetCaller(TrafficCodec codec) {
    this.codec = codec;
    connections =
        ConnectionProvider.builder("targets")
            .maxConnections(MAX_CONNECTIONS_PER_TARGET)
            .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
            .maxIdleTime(MAX_IDLE)
            .lifo()
            .build();
    kept = configure(HttpClient.create(connections));
    fresh = configure(HttpClient.newConnection());
  }

  private static HttpClient configure(HttpClient client) {
    return client
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true);
  }

  @Override
  public Flux<AnswerPart> call(
      Target target, ForwardRequest forward, Duration left, OptionalLong lastEventId) {
    TrafficRequest request = forward.request();
    HandOver handOver = new HandOver();
    HttpHeaders headers =
        codec.newTargetHeaders(request, target, forward.account(), left, lastEventId);
    HttpClient client = forward.route().isRepeatable() ? kept : fresh;
    String peer = target.address().getHostString() + ":" + target.address().getPort();
    HttpClient.RequestSender sender =
        client
            .headers(h -> replaceAll(h, headers))
            .doOnRequest((r, c) -> handOver.begin())
            .request(request.method())
            .uri("http://" + peer + request.uri());
    HttpClient.ResponseReceiver<?> receiver =
        forward.body().length == 0
            ? sender
            : sender.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(forward.body())));
    return receiver
        .responseConnection((response, connection) -> read(request, peer, response, connection))
        .onErrorMap(e -> toAttemptError(peer, handOver, e));
  }

  private static void replaceAll(HttpHeaders headers, HttpHeaders wanted) {
    headers.remove(HttpHeaderNames.USER_AGENT);
    headers.add(wanted);
  }

  private Flux<AnswerPart> read(
      TrafficRequest request, String peer, HttpClientResponse response, Connection connection) {
    TargetAnswer answer = codec.decodeAnswer(response.status().code(), response.responseHeaders());
    Optional<AttemptException> error = check(request, peer, answer);
    if (error.isPresent()) {
      connection.dispose();
      return Flux.error(error.get());
    }
    Flux<AnswerPart> pieces =
        connection.inbound().receive().asByteArray().map(AnswerPart.Piece::new);
    return Flux.concat(Mono.just(new AnswerPart.Head(answer)), pieces);
  }

  /** Tells an answer that is not the target's answer to this request. */
  private static Optional<AttemptException> check(
      TrafficRequest request, String peer, TargetAnswer answer) {
    boolean isOther = answer.requestId().filter(id -> !id.equals(request.id())).isPresent();
    if (!isOther && answer.isNotRun()) {
      String message = "the target answered " + answer.status() + ", not run";
      return Optional.of(new AttemptException(STEP, peer, Outcome.NOT_RUN, message, null));
    }
    if (isOther || answer.requestId().isEmpty()) {
      String message = "the answer belongs to request " + answer.requestId().orElse("(none)");
      return Optional.of(new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null));
    }
    if (!answer.isSigned()) {
      String message = "the answer " + answer.status() + " is not signed by the target";
      return Optional.of(new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null));
    }
    return Optional.empty();
  }

  private static Throwable toAttemptError(String peer, HandOver handOver, Throwable error) {
    if (error instanceof AttemptException) {
      return error;
    }
    Outcome outcome = handOver.isGivenUp() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    String message = error.getClass().getSimpleName() + ": " + error.getMessage();
    if (outcome == Outcome.NOT_RUN && error instanceof ConnectException) {
      return new TargetUnreachableException(STEP, peer, message, error);
    }
    return new AttemptException(STEP, peer, outcome, message, error);
  }

  @Override
  public void close() {
    connections.dispose();
  }
}
