package io.fireflyshed.transport.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.transport.http.BodyReader;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.DigestUtils;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * The HTTP server for operators, who authenticate with bearer tokens. The outcome of every change
 * is logged for auditing. Thread safe.
 */
public final class OperatorServer implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(OperatorServer.class);
  private static final String BEARER_PREFIX = "Bearer ";
  private static final int MAX_BODY_BYTES = 1_024;
  private static final int MAX_REASON_LENGTH = 200;
  private static final Duration BODY_TIMEOUT = Duration.ofSeconds(5);

  private final InetSocketAddress listen;
  private final List<OperatorToken> tokens;
  private final OperatorActions actions;
  private DisposableServer server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param listen the address to listen on; port 0 selects a free port, not null
   * @param tokens the valid tokens, copied, not null
   * @param actions performs the requested operations, not null
   */
  public OperatorServer(
      InetSocketAddress listen, List<OperatorToken> tokens, OperatorActions actions) {
    this.listen = Objects.requireNonNull(listen, "listen");
    this.tokens = List.copyOf(tokens);
    this.actions = Objects.requireNonNull(actions, "actions");
  }

  /**
   * Starts listening.
   *
   * @return the bound address, never null
   */
  public InetSocketAddress start() {
    server = HttpServer.create().bindAddress(() -> listen).route(this::addRoutes).bindNow();
    return (InetSocketAddress) server.address();
  }

  @Override
  public void close() {
    if (server != null) {
      server.disposeNow();
    }
  }

  private void addRoutes(HttpServerRoutes routes) {
    routes.get(
        "/operator/configuration",
        (request, response) -> read(request, response, actions::getConfiguration));
    routes.get(
        "/operator/replicas", (request, response) -> read(request, response, actions::getReplicas));
    routes.put("/operator/drains/{instance}", this::drain);
    routes.delete("/operator/drains/{instance}", this::undrain);
  }

  private Publisher<Void> read(
      HttpServerRequest request, HttpServerResponse response, Supplier<JsonNode> body) {
    return sendProblemOnError(
        response,
        Mono.fromSupplier(() -> authorize(request, OperatorRole.READ))
            .flatMap(operator -> sendJson(response, body.get())));
  }

  private Publisher<Void> drain(HttpServerRequest request, HttpServerResponse response) {
    return sendProblemOnError(
        response,
        Mono.fromSupplier(() -> authorize(request, OperatorRole.DRAIN))
            .flatMap(
                operator ->
                    BodyReader.read(request, MAX_BODY_BYTES, BODY_TIMEOUT)
                        .defaultIfEmpty(new byte[0])
                        .map(OperatorServer::parseReason)
                        .flatMap(
                            reason ->
                                Mono.fromFuture(
                                    actions.drain(operator, parseInstance(request), reason)))
                        .doOnNext(outcome -> audit(operator, "drain", request, outcome)))
            .flatMap(outcome -> sendOutcome(response, outcome)));
  }

  private Publisher<Void> undrain(HttpServerRequest request, HttpServerResponse response) {
    return sendProblemOnError(
        response,
        Mono.fromSupplier(() -> authorize(request, OperatorRole.DRAIN))
            .flatMap(
                operator ->
                    Mono.fromFuture(actions.undrain(operator, parseInstance(request)))
                        .doOnNext(outcome -> audit(operator, "undrain", request, outcome)))
            .flatMap(outcome -> sendOutcome(response, outcome)));
  }

  private String authorize(HttpServerRequest request, OperatorRole requiredRole) {
    String header = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION);
    Optional<OperatorToken> token =
        header == null || !header.startsWith(BEARER_PREFIX)
            ? Optional.empty()
            : findToken(header.substring(BEARER_PREFIX.length()));
    if (token.isEmpty()) {
      throw newRefusal(401, "unauthorized", "the authorization header holds no valid bearer token");
    }
    if (!token.get().role().includes(requiredRole)) {
      throw newRefusal(403, "forbidden", "the role of the token does not include " + requiredRole);
    }
    return token.get().operator();
  }

  private Optional<OperatorToken> findToken(String presentedToken) {
    byte[] digest = DigestUtils.sha256Hex(presentedToken).getBytes(StandardCharsets.US_ASCII);
    return tokens.stream()
        .filter(
            token ->
                MessageDigest.isEqual(token.digest().getBytes(StandardCharsets.US_ASCII), digest))
        .findFirst();
  }

  private static InstanceId parseInstance(HttpServerRequest request) {
    try {
      return new InstanceId(request.param("instance"));
    } catch (IllegalArgumentException e) {
      throw newRefusal(400, "bad-instance", e.getMessage());
    }
  }

  private static String parseReason(byte[] body) {
    String reason = new String(body, StandardCharsets.UTF_8).strip();
    if (reason.isEmpty() || reason.length() > MAX_REASON_LENGTH) {
      throw newRefusal(400, "bad-reason", "the body must hold a reason of 1 to 200 characters");
    }
    return reason;
  }

  private static void audit(
      String operator, String action, HttpServerRequest request, CommitOutcome outcome) {
    LOG.info("audit: {} {} {}: {}", operator, action, request.param("instance"), outcome);
  }

  private static Mono<Void> sendOutcome(HttpServerResponse response, CommitOutcome outcome) {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    if (outcome instanceof CommitOutcome.Accepted accepted) {
      body.put("outcome", "accepted").put("version", accepted.record().version());
      return sendJson(response, body);
    }
    if (outcome instanceof CommitOutcome.Undecided undecided) {
      body.put("outcome", "undecided").put("attempt", undecided.attempt());
      return sendJson(response.status(504), body);
    }
    boolean isConflict = outcome instanceof CommitOutcome.Conflict;
    body.put("outcome", isConflict ? "conflict" : "rejected");
    return sendJson(response.status(isConflict ? 409 : 503), body);
  }

  private static Mono<Void> sendProblemOnError(HttpServerResponse response, Mono<Void> handling) {
    return handling
        .onErrorResume(ProblemException.class, e -> sendProblem(response, e.getProblem()))
        .onErrorResume(
            e -> {
              LOG.warn("operator: request failed: {}", e.getMessage());
              return sendProblem(
                  response,
                  Problem.ofRefusal(503, "unavailable", "the platform could not be reached"));
            });
  }

  private static Mono<Void> sendProblem(HttpServerResponse response, Problem problem) {
    return response
        .status(problem.status())
        .header(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE)
        .sendString(Mono.just(problem.toJson()))
        .then();
  }

  private static Mono<Void> sendJson(HttpServerResponse response, JsonNode node) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(node)))
        .then();
  }

  private static ProblemException newRefusal(int status, String type, String detail) {
    return new ProblemException(Problem.ofRefusal(status, type, detail));
  }
}
