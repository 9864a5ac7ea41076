package io.fireflyshed.daemon.entry;

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;

/** Creates the source of spans. */
final class TelemetryFactory {

  private TelemetryFactory() {}

  /** Creates telemetry that exports to an OTLP endpoint, or nowhere if the endpoint is empty. */
  static OpenTelemetrySdk newTelemetry(String otlpEndpoint) {
    SdkTracerProviderBuilder provider = SdkTracerProvider.builder();
    if (!otlpEndpoint.isEmpty()) {
      OtlpGrpcSpanExporter exporter =
          OtlpGrpcSpanExporter.builder().setEndpoint(otlpEndpoint).build();
      provider.addSpanProcessor(BatchSpanProcessor.builder(exporter).build());
    }
    return OpenTelemetrySdk.builder()
        .setTracerProvider(provider.build())
        .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
        .build();
  }
}
