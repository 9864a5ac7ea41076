package io.fireflyshed.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.standins.engine.EngineFault;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ServiceName;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Tests the spans of a request through an entry. */
public class TraceTest {

  private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
  private static final String PARENT_ID = "b7ad6b7169203331";
  private static final AttributeKey<String> REPLICA = AttributeKey.stringKey("fireflyshed.replica");

  /** Collects finished spans in memory. */
  private static final class MemoryExporter implements SpanExporter {

    private final List<SpanData> spans = new CopyOnWriteArrayList<>();

    @Override
    public CompletableResultCode export(Collection<SpanData> finished) {
      spans.addAll(finished);
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }

    List<SpanData> find(String name) {
      return spans.stream()
          .filter(s -> s.getTraceId().equals(TRACE_ID) && s.getName().equals(name))
          .toList();
    }
  }

  private static HttpRequest newTracedRequest(EntryFixture fixture, int tokens) {
    return fixture
        .newRequest("/v1/completions")
        .header("traceparent", "00-" + TRACE_ID + "-" + PARENT_ID + "-01")
        .POST(BodyPublishers.ofString(EntryFixture.newBody(tokens, true)))
        .build();
  }

  @Test
  public void followsOneRequestThroughEntryQueueTwoAttemptsAndTargets() throws Exception {
    MemoryExporter exporter = new MemoryExporter();
    OpenTelemetrySdk telemetry =
        TelemetryFactory.newTelemetry(
            SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(exporter)));
    try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(2), telemetry)) {
      CompletableFuture<HttpResponse<String>> stream =
          fixture.getClient().sendAsync(newTracedRequest(fixture, 300), BodyHandlers.ofString());
      EntryFixture.await(() -> fixture.getGeneratedTokens() > 20);
      failSecondMemberOfActiveReplica(fixture);
      assertTrue(stream.get().body().endsWith("data: [DONE]\n\n"));
      EntryFixture.await(() -> exporter.find("target").size() == 2);
      EntryFixture.await(() -> exporter.find("entry").size() == 1);
    }
    SpanData entry = exporter.find("entry").get(0);
    assertEquals(entry.getParentSpanId(), PARENT_ID);
    assertEquals(exporter.find("queue").get(0).getParentSpanId(), entry.getSpanId());
    List<SpanData> attempts = exporter.find("attempt");
    assertEquals(attempts.size(), 2);
    for (SpanData attempt : attempts) {
      assertEquals(attempt.getParentSpanId(), entry.getSpanId());
      long children =
          exporter.find("target").stream()
              .filter(t -> t.getParentSpanId().equals(attempt.getSpanId()))
              .count();
      assertEquals(children, 1);
    }
    String firstReplica = attempts.get(0).getAttributes().get(REPLICA);
    assertTrue(!firstReplica.equals(attempts.get(1).getAttributes().get(REPLICA)), firstReplica);
  }

  private static void failSecondMemberOfActiveReplica(EntryFixture fixture) {
    ServiceName service = new ServiceName("cards");
    for (OpenReplica replica : fixture.getDaemon().getViews().get().getOpen(service)) {
      InstanceId head = replica.assignment().getHead().id();
      if (fixture.getSite().getEngines().getEngine(head).getActive() > 0) {
        InstanceId secondMember = replica.assignment().members().get(1).id();
        fixture.getSite().getEngines().getEngine(secondMember).setFault(EngineFault.DEAD);
      }
    }
  }

  @Test
  public void exportsSpansByOtlp() throws Exception {
    AtomicInteger exports = new AtomicInteger();
    DisposableServer collector =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes.post(
                        "/v1/traces",
                        (request, response) -> {
                          exports.incrementAndGet();
                          return request.receive().then().then(response.status(200).send());
                        }))
            .bindNow();
    String endpoint = "http://127.0.0.1:" + collector.port();
    OpenTelemetrySdk telemetry = TelemetryFactory.newTelemetry(endpoint);
    try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(2), telemetry)) {
      fixture.getClient().send(newTracedRequest(fixture, 1), BodyHandlers.ofString());
      EntryFixture.await(
          () -> {
            telemetry.getSdkTracerProvider().forceFlush();
            return exports.get() > 0;
          });
    } finally {
      collector.disposeNow();
    }
  }
}
