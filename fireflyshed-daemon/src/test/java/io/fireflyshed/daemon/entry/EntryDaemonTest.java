package io.fireflyshed.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.standins.engine.EngineFault;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ServiceName;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests {@link EntryDaemon} against the stand-ins on loopback. */
public class EntryDaemonTest {

  private static final String COMPLETIONS = "/v1/completions";
  private static final ServiceName CARDS = new ServiceName("cards");

  /** Tests of requests that must be refused without being run. */
  public static class BadInput {

    private EntryFixture fixture;

    @BeforeClass
    public void start() throws InterruptedException {
      fixture = new EntryFixture(Duration.ofMillis(2));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
      fixture.close();
    }

    private void assertRefused(HttpResponse<String> response, int status, String type) {
      assertEquals(response.statusCode(), status, response.body());
      assertEquals(
          response.headers().firstValue("content-type").orElse(""), "application/problem+json");
      var problem = JsonUtils.parse(response.body());
      assertEquals(problem.path("type").asText(), "urn:fireflyshed:problem:" + type);
      assertEquals(problem.path("outcome").asText(), "not-run");
      assertEquals(fixture.getActive(), 0);
    }

    @Test
    public void refusesBodyOverTheLimit() throws IOException, InterruptedException {
      String body = "x".repeat(EntryFixture.MAX_BODY_BYTES + 1);
      assertRefused(fixture.post(COMPLETIONS, body), 413, "body-too-large");
    }

    @Test
    public void refusesChunkedBodyOverTheLimit() throws IOException, InterruptedException {
      byte[] body = "x".repeat(EntryFixture.MAX_BODY_BYTES + 1).getBytes(StandardCharsets.UTF_8);
      HttpRequest request =
          fixture
              .newRequest(COMPLETIONS)
              .POST(BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)))
              .build();
      HttpResponse<String> response = fixture.getClient().send(request, BodyHandlers.ofString());
      assertRefused(response, 413, "body-too-large");
    }

    @Test
    public void refusesMalformedJson() throws IOException, InterruptedException {
      assertRefused(fixture.post(COMPLETIONS, "{\"model\":"), 400, "malformed-request");
      assertRefused(fixture.post(COMPLETIONS, "[1]"), 400, "malformed-request");
      assertRefused(fixture.post(COMPLETIONS, ""), 400, "malformed-request");
      assertRefused(fixture.post(COMPLETIONS, "[".repeat(2000)), 400, "malformed-request");
    }

    @Test
    public void refusesWrongTypesOfFields() throws IOException, InterruptedException {
      assertRefused(fixture.post(COMPLETIONS, "{\"model\":1}"), 400, "malformed-request");
      assertRefused(
          fixture.post(COMPLETIONS, "{\"model\":\"cards\",\"prompt\":\"a\",\"max_tokens\":0}"),
          400,
          "malformed-request");
      assertRefused(
          fixture.post("/v1/chat/completions", "{\"model\":\"cards\",\"messages\":[]}"),
          400,
          "malformed-request");
    }

    @Test
    public void refusesUnknownModelAndService() throws IOException, InterruptedException {
      assertRefused(
          fixture.post(COMPLETIONS, "{\"model\":\"other\",\"prompt\":\"a\"}"),
          404,
          "unknown-model");
      HttpRequest order =
          fixture
              .newRequest("/v1/services/other/orders")
              .header("idempotency-key", "k")
              .POST(BodyPublishers.ofString("{}"))
              .build();
      assertRefused(
          fixture.getClient().send(order, BodyHandlers.ofString()), 404, "unknown-service");
    }

    @Test
    public void refusesMissingAndUnknownKey() throws IOException, InterruptedException {
      String body = EntryFixture.newBody(1, false);
      for (String header : List.of("Bearer wrong", "Basic " + EntryFixture.KEY)) {
        HttpRequest request =
            fixture
                .newRequest(COMPLETIONS)
                .setHeader("authorization", header)
                .POST(BodyPublishers.ofString(body))
                .build();
        assertRefused(
            fixture.getClient().send(request, BodyHandlers.ofString()), 401, "unknown-key");
      }
    }

    @Test
    public void refusesOrderWithoutIdempotencyKey() throws IOException, InterruptedException {
      assertRefused(fixture.post("/v1/services/desk/orders", "{}"), 400, "malformed-key");
    }

    @Test
    public void refusesBodyThatArrivesTooSlowly() throws IOException {
      String head =
          "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
              + EntryFixture.KEY
              + "\r\ncontent-length: 100\r\n\r\n{";
      assertTrue(sendRaw(head).startsWith("HTTP/1.1 408 "));
    }

    @Test
    public void refusesOversizedHeader() throws IOException {
      String head =
          "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-flood: " + "x".repeat(20_000) + "\r\n\r\n";
      assertTrue(sendRaw(head).startsWith("HTTP/1.1 431 "));
    }

    private String sendRaw(String text) throws IOException {
      try (Socket socket = new Socket("127.0.0.1", fixture.getAddress().getPort())) {
        socket.setSoTimeout(10_000);
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
        return new String(socket.getInputStream().readNBytes(13), StandardCharsets.UTF_8);
      }
    }
  }

  /** Tests of streams whose caller or replica fails. */
  public static class Streams {

    private static final Duration MAX_CANCEL_TIME = Duration.ofMillis(100);

    @Test
    public void engineIsCancelledWhenTheCallerDisconnects() throws Exception {
      try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(2))) {
        List<Duration> times = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
          times.add(disconnectMidStream(fixture));
        }
        Collections.sort(times);
        assertTrue(times.get(3).compareTo(MAX_CANCEL_TIME) <= 0, "cancel times " + times);
        EntryFixture.await(() -> fixture.getActive() == 0);
      }
    }

    private static Duration disconnectMidStream(EntryFixture fixture) throws Exception {
      int before = fixture.getCancelled();
      HttpRequest request =
          fixture
              .newRequest(COMPLETIONS)
              .POST(BodyPublishers.ofString(EntryFixture.newBody(100_000, true)))
              .build();
      HttpResponse<InputStream> response =
          fixture.getClient().send(request, BodyHandlers.ofInputStream());
      response.body().read();
      long start = System.nanoTime();
      response.body().close();
      EntryFixture.await(() -> fixture.getCancelled() > before);
      return Duration.ofNanos(System.nanoTime() - start);
    }

    @Test
    public void slowReaderAppliesBackpressureToTheEngine() throws Exception {
      try (EntryFixture fixture = new EntryFixture(Duration.ofNanos(20_000));
          Socket socket = new Socket()) {
        socket.setReceiveBufferSize(4096);
        socket.connect(fixture.getAddress());
        String body = EntryFixture.newBody(131_072, true);
        String head =
            "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
                + EntryFixture.KEY
                + "\r\ncontent-length: "
                + body.length()
                + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        EntryFixture.await(() -> fixture.getGeneratedTokens() > 0);
        int generated = -1;
        while (generated != fixture.getGeneratedTokens()) {
          generated = fixture.getGeneratedTokens();
          Thread.sleep(500);
        }
        assertTrue(generated < 131_072, "generated " + generated);
        assertEquals(fixture.getActive(), 1);
      }
    }

    @Test
    public void streamContinuesOnAnotherReplicaWhenAMemberFails() throws Exception {
      int tokens = 300;
      try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(2))) {
        String expected = fixture.post(COMPLETIONS, EntryFixture.newBody(tokens, false)).body();
        HttpRequest request =
            fixture
                .newRequest(COMPLETIONS)
                .POST(BodyPublishers.ofString(EntryFixture.newBody(tokens, true)))
                .build();
        CompletableFuture<HttpResponse<String>> stream =
            fixture.getClient().sendAsync(request, BodyHandlers.ofString());
        EntryFixture.await(() -> fixture.getGeneratedTokens() > tokens + 20);
        failSecondMemberOfActiveReplica(fixture);
        String body = stream.get().body();
        assertTrue(body.endsWith("data: [DONE]\n\n"), body);
        assertFalse(body.contains("event: error"), body);
        assertEquals(readText(body), JsonUtils.parse(expected).at("/choices/0/text").asText());
      }
    }

    private static void failSecondMemberOfActiveReplica(EntryFixture fixture) {
      for (OpenReplica replica : fixture.getDaemon().getViews().get().getOpen(CARDS)) {
        InstanceId head = replica.assignment().getHead().id();
        if (fixture.getSite().getEngines().getEngine(head).getActive() > 0) {
          InstanceId secondMember = replica.assignment().members().get(1).id();
          fixture.getSite().getEngines().getEngine(secondMember).setFault(EngineFault.DEAD);
        }
      }
    }

    private static String readText(String stream) {
      StringBuilder text = new StringBuilder();
      for (String line : stream.split("\n")) {
        if (line.startsWith("data: {")) {
          text.append(JsonUtils.parse(line.substring(6)).at("/choices/0/text").asText());
        }
      }
      return text.toString();
    }
  }

  /** Tests of the shutdown of an entry. */
  public static class Shutdown {

    @Test
    public void reportsNotReadyAndFinishesRequestsInFlight() throws Exception {
      try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(2))) {
        HttpRequest request =
            fixture
                .newRequest(COMPLETIONS)
                .POST(BodyPublishers.ofString(EntryFixture.newBody(400, true)))
                .build();
        CompletableFuture<HttpResponse<String>> stream =
            fixture.getClient().sendAsync(request, BodyHandlers.ofString());
        EntryFixture.await(() -> fixture.getGeneratedTokens() > 0);
        CompletableFuture<Integer> inFlight = fixture.getDaemon().shutdown();
        assertEquals(fixture.get("/readyz").statusCode(), 503);
        assertTrue(stream.get().body().endsWith("data: [DONE]\n\n"));
        assertEquals(inFlight.get(), Integer.valueOf(0));
      }
    }

    @Test
    public void reportsRequestsInFlightAtTheDeadline() throws Exception {
      Duration deadline = Duration.ofMillis(100);
      try (EntryFixture fixture =
          new EntryFixture(Duration.ofMillis(2), TelemetryFactory.newTelemetry(""), deadline)) {
        HttpRequest request =
            fixture
                .newRequest(COMPLETIONS)
                .POST(BodyPublishers.ofString(EntryFixture.newBody(100_000, true)))
                .build();
        CompletableFuture<HttpResponse<String>> stream =
            fixture.getClient().sendAsync(request, BodyHandlers.ofString());
        EntryFixture.await(() -> fixture.getGeneratedTokens() > 0);
        assertEquals(fixture.getDaemon().shutdown().get(), Integer.valueOf(1));
        String body = stream.get().body();
        assertTrue(body.contains("event: error\n"), body.substring(body.length() - 500));
        assertTrue(body.contains("urn:fireflyshed:problem:shutting-down"));
        assertFalse(body.contains("[DONE]"));
        EntryFixture.await(() -> fixture.getActive() == 0);
      }
    }
  }
}
