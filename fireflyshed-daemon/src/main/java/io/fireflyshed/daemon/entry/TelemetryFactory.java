package io.fireflyshed.daemon.entry;

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;

/** Creates OpenTelemetry instances. */
final class TelemetryFactory {

  private static final String TRACES_PATH = "/v1/traces";

  private TelemetryFactory() {}

  /** Creates telemetry that exports spans to an OTLP endpoint, or no spans if it is empty. */
  static OpenTelemetrySdk newTelemetry(String otlpEndpoint) {
    if (otlpEndpoint.isEmpty()) {
      return newTelemetry(SdkTracerProvider.builder());
    }
    OtlpHttpSpanExporter exporter =
        OtlpHttpSpanExporter.builder().setEndpoint(otlpEndpoint + TRACES_PATH).build();
    return newTelemetry(
        SdkTracerProvider.builder().addSpanProcessor(BatchSpanProcessor.builder(exporter).build()));
  }

  /** Creates telemetry that propagates the W3C trace context. */
  static OpenTelemetrySdk newTelemetry(SdkTracerProviderBuilder tracerProvider) {
    return OpenTelemetrySdk.builder()
        .setTracerProvider(tracerProvider.build())
        .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
        .build();
  }
}
