package io.fireflyshed.daemon.entry;

import io.fireflyshed.standins.StandInSite;
import io.fireflyshed.standins.engine.EngineSettings;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.transport.control.ControlSettings;
import io.fireflyshed.transport.entry.EntrySettings;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;

/** Runs an entry and its stand-ins on loopback for a test. */
final class EntryFixture implements AutoCloseable {

  static final String KEY = "test-key";
  static final int MAX_BODY_BYTES = 10_000;
  static final Duration BODY_TIMEOUT = Duration.ofMillis(300);

  private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_MILLIS = 5;

  private final HttpClient client = HttpClient.newHttpClient();
  private final StandInSite site;
  private final EntryDaemon daemon;
  private final InetSocketAddress address;
  private final InetSocketAddress platform;

  EntryFixture(Duration stepTime) throws InterruptedException {
    this(stepTime, TelemetryFactory.newTelemetry(""));
  }

  EntryFixture(Duration stepTime, OpenTelemetrySdk telemetry) throws InterruptedException {
    this(stepTime, telemetry, TIMEOUT);
  }

  EntryFixture(Duration stepTime, OpenTelemetrySdk telemetry, Duration drainTimeout)
      throws InterruptedException {
    EngineSettings engines =
        new EngineSettings(Duration.ofMillis(20), stepTime, 64, 256, 512, true);
    site = new StandInSite("127.0.0.1", engines);
    site.getEngines().setTelemetry(telemetry);
    platform = site.start(0, List.of(ZONE), 2, 2, new ServiceName("desk"));
    ControlSettings control =
        new ControlSettings(
            ZONE,
            List.of(new ModelServiceSpec(new ServiceName("cards"), "cards-1", 2, 2)),
            Duration.ofMillis(50),
            Duration.ofSeconds(5),
            Duration.ofMillis(50));
    EntrySettings entry =
        new EntrySettings(
            new InetSocketAddress("127.0.0.1", 0),
            MAX_BODY_BYTES,
            BODY_TIMEOUT,
            Duration.ofMillis(50),
            drainTimeout);
    daemon =
        new EntryDaemon(
            new EntryDaemonSettings(
                control,
                PlannerSettings.ofDefaults(),
                entry,
                platform,
                Map.of("test", KEY),
                SiteSettings.ofStandalone("site"),
                TrafficSettings.ofDefaults(),
                ""),
            telemetry);
    address = daemon.start();
    await(() -> daemon.getViews().get().getOpen(new ServiceName("cards")).size() == 2);
  }

  /** Waits until a condition holds, or fails after the timeout. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        throw new AssertionError("the condition did not hold within " + TIMEOUT);
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  static String newBody(int tokens, boolean isStream) {
    return "{\"model\":\"cards\",\"prompt\":\"a card\",\"max_tokens\":"
        + tokens
        + ",\"stream\":"
        + isStream
        + "}";
  }

  StandInSite getSite() {
    return site;
  }

  EntryDaemon getDaemon() {
    return daemon;
  }

  InetSocketAddress getAddress() {
    return address;
  }

  InetSocketAddress getPlatformAddress() {
    return platform;
  }

  HttpClient getClient() {
    return client;
  }

  HttpRequest.Builder newRequest(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
        .timeout(TIMEOUT)
        .header("authorization", "Bearer " + KEY);
  }

  HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
    HttpRequest request = newRequest(path).POST(BodyPublishers.ofString(body)).build();
    return client.send(request, BodyHandlers.ofString());
  }

  HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return client.send(newRequest(path).build(), BodyHandlers.ofString());
  }

  /** Returns the number of requests that engines run or queue. */
  int getActive() {
    return sumOverEngines(i -> site.getEngines().getEngine(i).getActive());
  }

  /** Returns the number of attempts that were cancelled at engines. */
  int getCancelled() {
    return sumOverEngines(i -> (int) site.getEngines().getEngine(i).getCancelled());
  }

  /** Returns the number of tokens that engines generated. */
  int getGeneratedTokens() {
    return sumOverEngines(i -> (int) site.getEngines().getEngine(i).getGeneratedTokens());
  }

  private int sumOverEngines(ToIntFunction<InstanceId> counter) {
    int sum = 0;
    for (int d = 0; d < 2; d++) {
      for (int i = 0; i < 2; i++) {
        sum += counter.applyAsInt(new InstanceId(ZONE + "-d" + d + "-i" + i));
      }
    }
    return sum;
  }

  @Override
  public void close() {
    daemon.close();
    site.close();
  }
}
