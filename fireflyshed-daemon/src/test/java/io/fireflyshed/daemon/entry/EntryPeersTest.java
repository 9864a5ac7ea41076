package io.fireflyshed.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.standins.platform.PlatformStandIn;
import io.fireflyshed.standins.platform.StoreFault;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.transport.configuration.ConfigurationCommitter;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.control.ControlSettings;
import io.fireflyshed.transport.entry.EntrySettings;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.operator.OperatorRole;
import io.fireflyshed.transport.operator.OperatorToken;
import io.fireflyshed.transport.platform.HttpObjectStore;
import io.fireflyshed.transport.platform.HttpTableService;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests several entries with peers, configuration and the operator API over loopback. */
public class EntryPeersTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final Duration SHORT_INTERVAL = Duration.ofMillis(50);
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<EntryDaemon> daemons = new ArrayList<>();
  private PlatformStandIn platform;
  private InetSocketAddress platformAddress;

  /** Starts three entries in two availability zones. */
  @BeforeMethod
  public void start() throws InterruptedException {
    platform = new PlatformStandIn();
    platformAddress = platform.start(ANY_PORT);
    startDaemon("zone-a", List.of());
    startDaemon("zone-a", List.of());
    startDaemon("zone-b", List.of());
    EntryFixture.await(() -> daemons.stream().allMatch(d -> countPeers(d) == 2));
  }

  /** Stops the entries and the platform. */
  @AfterMethod
  public void stop() {
    daemons.forEach(EntryDaemon::close);
    daemons.clear();
    platform.close();
  }

  private EntryDaemon startDaemon(String zone, List<InetSocketAddress> seeds) {
    ControlSettings control =
        new ControlSettings(
            new AvailabilityZone(zone), List.of(), SHORT_INTERVAL, TIMEOUT, SHORT_INTERVAL);
    EntrySettings entry = new EntrySettings(ANY_PORT, 1_024, TIMEOUT, SHORT_INTERVAL, TIMEOUT);
    SiteSettings site =
        new SiteSettings(
            "harwood",
            Optional.of(ANY_PORT),
            seeds,
            Optional.of(ANY_PORT),
            List.of(
                OperatorToken.of("ann", OperatorRole.DRAIN, "token-a"),
                OperatorToken.of("rob", OperatorRole.READ, "token-r")));
    EntryDaemon daemon =
        new EntryDaemon(
            new EntryDaemonSettings(
                control,
                PlannerSettings.ofDefaults(),
                entry,
                platformAddress,
                Map.of(),
                site,
                TrafficSettings.ofDefaults(),
                ""));
    daemons.add(daemon);
    daemon.start();
    return daemon;
  }

  private static int countPeers(EntryDaemon daemon) {
    return daemon.getPeers().getBus().getLivePeers().size();
  }

  private void apply() {
    HttpCaller caller = new HttpCaller("test");
    ConfigurationStore store =
        new ConfigurationStore(
            new HttpTableService(caller, platformAddress, TIMEOUT),
            new HttpObjectStore(caller, platformAddress, TIMEOUT));
    JsonNode base = JsonUtils.parse("{\"services\":{},\"accounts\":{}}");
    String text = new ConfigurationDocument(base, new TreeMap<>()).toText();
    CommitOutcome outcome =
        new ConfigurationCommitter(store, Runnable::run).apply(0, "a1", "ann", text, "t").join();
    caller.close();
    assertTrue(outcome instanceof CommitOutcome.Accepted, outcome.toString());
  }

  private static long getVersion(EntryDaemon daemon) {
    return daemon
        .getConfiguration()
        .getAgent()
        .getStatus()
        .inForce()
        .map(r -> r.version())
        .orElse(0L);
  }

  private void awaitVersion(long version) throws InterruptedException {
    EntryFixture.await(() -> daemons.stream().allMatch(d -> getVersion(d) == version));
  }

  private HttpResponse<String> send(String method, String path, String token, String body)
      throws IOException, InterruptedException {
    int port = daemons.get(0).getOperatorAddress().getPort();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("authorization", "Bearer " + token)
            .method(method, BodyPublishers.ofString(body))
            .build();
    return client.send(request, BodyHandlers.ofString());
  }

  @Test
  public void drainsOverTheOperatorApiReachAllEntries() throws Exception {
    assertEquals(send("PUT", "/operator/drains/i1", "token-a", "fan").statusCode(), 503);
    apply();
    awaitVersion(1);
    assertEquals(send("PUT", "/operator/drains/i1", "token-r", "fan").statusCode(), 403);
    assertEquals(send("PUT", "/operator/drains/i1", "none", "fan").statusCode(), 401);
    assertEquals(send("PUT", "/operator/drains/i1", "token-a", "").statusCode(), 400);
    assertEquals(send("PUT", "/operator/drains/i1", "token-a", "fan").statusCode(), 200);
    awaitVersion(2);
    for (EntryDaemon daemon : daemons) {
      assertEquals(daemon.getConfiguration().getHolder().get().get().drains().size(), 1);
    }
    assertEquals(send("DELETE", "/operator/drains/i1", "token-a", "").statusCode(), 200);
    awaitVersion(3);
    JsonNode status = JsonUtils.parse(send("GET", "/operator/configuration", "token-r", "").body());
    assertEquals(status.path("version").asLong(), 3);
  }

  @Test
  public void newEntryAdoptsTheVersionOfItsPeersWhileThePlatformIsDown() throws Exception {
    apply();
    awaitVersion(1);
    platform.setFault(StoreFault.DOWN);
    EntryFixture.await(
        () -> daemons.stream().noneMatch(d -> d.getConfiguration().getAgent().isCurrent()));
    String seed = daemons.get(0).getPeers().getNode().get().getRecord().address();
    int port = Integer.parseInt(seed.substring(seed.lastIndexOf(':') + 1));
    startDaemon("zone-a", List.of(new InetSocketAddress("127.0.0.1", port)));
    awaitVersion(1);
    EntryDaemon added = daemons.get(3);
    assertEquals(added.getConfiguration().getAgent().isCurrent(), false);
    platform.setFault(StoreFault.NONE);
    EntryFixture.await(
        () -> daemons.stream().allMatch(d -> d.getConfiguration().getAgent().isCurrent()));
  }

  @Test
  public void peersRemoveAnEntryThatShutsDown() throws Exception {
    EntryDaemon first = daemons.remove(0);
    first.shutdown().join();
    first.close();
    EntryFixture.await(() -> daemons.stream().allMatch(d -> countPeers(d) == 1));
  }
}
