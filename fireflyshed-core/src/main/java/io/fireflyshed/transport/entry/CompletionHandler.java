package io.fireflyshed.transport.entry;

import io.fireflyshed.protocol.completion.AnswerBuilder;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.protocol.completion.SseEncoder;
import io.fireflyshed.protocol.completion.SseEvent;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.http.BodyReader;
import io.fireflyshed.transport.trace.RequestTracer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Context;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles the completion requests of callers. Thread safe. */
public final class CompletionHandler {

  private static final String ERROR_EVENT = "error";

  /** A parsed request and the account that sent it. */
  private record AuthenticatedRequest(String account, CompletionRequest request) {}

  /** A permit and the number of tokens generated under it. */
  private record AdmittedRequest(Admission.Permit permit, AtomicLong tokens) {

    void release() {
      permit.release(tokens.get());
    }
  }

  private final EntrySettings settings;
  private final AccountDirectory accounts;
  private final Supplier<ServingView> views;
  private final Admission admission;
  private final CompletionRunner runner;
  private final RequestTracer tracer;

  /**
   * Creates a handler.
   *
   * @param settings the limits for request bodies, not null
   * @param accounts finds client accounts, not null
   * @param views supplies the published view, not null
   * @param admission decides when requests may run, not null
   * @param runner runs completions, not null
   * @param tracer starts spans, not null
   */
  public CompletionHandler(
      EntrySettings settings,
      AccountDirectory accounts,
      Supplier<ServingView> views,
      Admission admission,
      CompletionRunner runner,
      RequestTracer tracer) {
    this.settings = settings;
    this.accounts = accounts;
    this.views = views;
    this.admission = admission;
    this.runner = runner;
    this.tracer = tracer;
  }

  /**
   * Handles a request.
   *
   * @param kind the kind of completion, not null
   * @param request the request, not null
   * @param response the response to send, not null
   * @return completes when the response is sent, never null
   */
  public Publisher<Void> handle(
      CompletionKind kind, HttpServerRequest request, HttpServerResponse response) {
    return handle(kind, request, response, new ShutdownSignal());
  }

  /** Handles a request, which the signal ends with an error at the deadline of a shutdown. */
  Publisher<Void> handle(
      CompletionKind kind,
      HttpServerRequest request,
      HttpServerResponse response,
      ShutdownSignal shutdown) {
    Context parent = tracer.extract(request.requestHeaders());
    Span span = tracer.start("entry", SpanKind.SERVER, parent);
    String requestId = "req-" + UUID.randomUUID();
    return Mono.fromSupplier(() -> authenticate(request, span))
        .flatMap(account -> readRequest(kind, request, account, shutdown))
        .flatMap(
            received ->
                Mono.from(respond(received, requestId, parent.with(span), response, shutdown)))
        .onErrorResume(e -> Mono.from(ProblemWriter.send(response, ProblemWriter.toProblem(e))))
        .doFinally(signal -> span.end());
  }

  private Mono<AuthenticatedRequest> readRequest(
      CompletionKind kind, HttpServerRequest request, String account, ShutdownSignal shutdown) {
    Mono<byte[]> body = BodyReader.read(request, settings.maxBodyBytes(), settings.bodyTimeout());
    return shutdown
        .failOnShutdown(body.flux(), CompletionRunner::newShuttingDown)
        .next()
        .map(bytes -> new AuthenticatedRequest(account, parse(kind, bytes)));
  }

  private String authenticate(HttpServerRequest request, Span span) {
    String account =
        accounts
            .findAccount(request.requestHeaders())
            .orElseThrow(
                () ->
                    new ProblemException(
                        Problem.ofRefusal(
                            401,
                            "unknown-key",
                            "the authorization header must hold a known key as bearer token")));
    span.setAttribute("fireflyshed.account", account);
    return account;
  }

  private CompletionRequest parse(CompletionKind kind, byte[] bytes) {
    CompletionRequest request;
    try {
      request = CompletionRequest.parse(kind, bytes);
    } catch (IllegalArgumentException e) {
      throw new ProblemException(Problem.ofRefusal(400, "malformed-request", e.getMessage()));
    }
    if (!views.get().services().containsKey(request.model())) {
      throw new ProblemException(
          Problem.ofRefusal(404, "unknown-model", "no model service is named " + request.model()));
    }
    return request;
  }

  private Publisher<Void> respond(
      AuthenticatedRequest received,
      String requestId,
      Context context,
      HttpServerResponse response,
      ShutdownSignal shutdown) {
    response.header("x-request-id", requestId);
    Flux<AdmittedRequest> admission =
        shutdown.failOnShutdown(admit(received, context).flux(), CompletionRunner::newShuttingDown);
    Flux<StreamChunk> chunks =
        Flux.usingWhen(
            admission,
            admitted ->
                runner
                    .run(received.request(), requestId, context, shutdown)
                    .doOnNext(chunk -> admitted.tokens().addAndGet(chunk.tokens())),
            admitted -> Mono.fromRunnable(admitted::release));
    return received.request().isStream()
        ? sendStream(chunks, response)
        : sendComplete(received.request(), requestId, chunks, response);
  }

  private Mono<AdmittedRequest> admit(AuthenticatedRequest received, Context context) {
    CompletionRequest request = received.request();
    AdmissionRequest admissionRequest =
        new AdmissionRequest(
            received.account(),
            request.model(),
            request.body().path("priority").asInt(0),
            request.maxTokens(),
            Optional.empty());
    return Mono.defer(
        () -> {
          Span span = tracer.start("queue", SpanKind.INTERNAL, context);
          return admission
              .admit(admissionRequest)
              .map(permit -> new AdmittedRequest(permit, new AtomicLong()))
              .doFinally(signal -> span.end());
        });
  }

  private static Publisher<Void> sendComplete(
      CompletionRequest request,
      String requestId,
      Flux<StreamChunk> chunks,
      HttpServerResponse response) {
    return chunks
        .reduceWith(
            () -> new AnswerBuilder(request.kind(), requestId, request.model()),
            (answer, chunk) -> answer.append(chunk.frames()))
        .flatMap(
            answer ->
                response
                    .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .sendString(Mono.just(answer.toJson()))
                    .then());
  }

  private static Publisher<Void> sendStream(Flux<StreamChunk> chunks, HttpServerResponse response) {
    return chunks
        .switchOnFirst(
            (first, allChunks) -> {
              if (first.hasError()) {
                return Flux.error(first.getThrowable());
              }
              response.header(HttpHeaderNames.CONTENT_TYPE, SseEvent.MEDIA_TYPE);
              response.header(HttpHeaderNames.CACHE_CONTROL, "no-cache");
              Flux<ByteBuf> frames =
                  allChunks
                      .map(chunk -> Unpooled.wrappedBuffer(chunk.frames()))
                      .onErrorResume(e -> Flux.just(toErrorFrame(e)));
              return Flux.from(response.send(frames, frame -> true));
            })
        .then();
  }

  private static ByteBuf toErrorFrame(Throwable error) {
    String problem = ProblemWriter.toProblem(error).toJson();
    ByteBuffer data = ByteBuffer.wrap(problem.getBytes(StandardCharsets.UTF_8));
    SseEvent event = new SseEvent(SseEvent.NO_ID, ERROR_EVENT, data);
    return Unpooled.wrappedBuffer(new SseEncoder().append(event).toBytes());
  }
}
