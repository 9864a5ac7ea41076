package io.fireflyshed.transport.trace;

import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.HashMap;
import java.util.Map;

/** Starts the spans of requests and propagates their trace contexts. Thread safe. */
public final class RequestTracer {

  private static final String INSTRUMENTATION_SCOPE = "io.fireflyshed";

  private static final TextMapGetter<HttpHeaders> HEADER_GETTER =
      new TextMapGetter<>() {
        @Override
        public Iterable<String> keys(HttpHeaders headers) {
          return headers.names();
        }

        @Override
        public String get(HttpHeaders headers, String key) {
          return headers == null ? null : headers.get(key);
        }
      };

  private final OpenTelemetry telemetry;
  private final Tracer tracer;

  /**
   * Creates a tracer.
   *
   * @param telemetry creates and exports spans, not null
   */
  public RequestTracer(OpenTelemetry telemetry) {
    this.telemetry = telemetry;
    this.tracer = telemetry.getTracer(INSTRUMENTATION_SCOPE);
  }

  /**
   * Extracts the trace context from the headers of a received request.
   *
   * @param headers the headers of the request, not null
   * @return the context, which is the root context if the headers hold none, never null
   */
  public Context extract(HttpHeaders headers) {
    return telemetry
        .getPropagators()
        .getTextMapPropagator()
        .extract(Context.root(), headers, HEADER_GETTER);
  }

  /**
   * Starts a span.
   *
   * @param name the name of the span, not null
   * @param kind the kind of the span, not null
   * @param parent the context of the parent span, not null
   * @return the span, which the caller must end, never null
   */
  public Span start(String name, SpanKind kind, Context parent) {
    return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
  }

  /**
   * Returns the headers that propagate a context to a peer.
   *
   * @param context the context, not null
   * @return the headers, never null
   */
  public Map<String, String> inject(Context context) {
    Map<String, String> headers = new HashMap<>();
    telemetry.getPropagators().getTextMapPropagator().inject(context, headers, Map::put);
    return headers;
  }
}
