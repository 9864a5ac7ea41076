package io.fireflyshed.daemon.entry;

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;

/** Creates the source of spans. */
final class TelemetryFactory {

  private static final String TRACES_PATH = "/v1/traces";

  private TelemetryFactory() {}

  /** Creates telemetry that exports to an OTLP endpoint, or nowhere if the endpoint is empty. */
  static OpenTelemetrySdk newTelemetry(String otlpEndpoint) {
    if (otlpEndpoint.isEmpty()) {
      return newTelemetry(SdkTracerProvider.builder());
    }
    OtlpHttpSpanExporter exporter =
        OtlpHttpSpanExporter.builder().setEndpoint(otlpEndpoint + TRACES_PATH).build();
    return newTelemetry(
        SdkTracerProvider.builder().addSpanProcessor(BatchSpanProcessor.builder(exporter).build()));
  }

  /** Creates telemetry with the trace context of W3C. */
  static OpenTelemetrySdk newTelemetry(SdkTracerProviderBuilder provider) {
    return OpenTelemetrySdk.builder()
        .setTracerProvider(provider.build())
        .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
        .build();
  }
}
