package io.fireflyshed.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.transport.configuration.ConfigurationCommitter;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.entry.ConfiguredAccountDirectory;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.platform.HttpObjectStore;
import io.fireflyshed.transport.platform.HttpTableService;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Tests that a running entry applies accepted configurations. */
public class EntryConfigurationTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final String SALT = "0123456789abcdef";
  private static final String ACCOUNT_KEY = "salon.secret";
  private static final ServiceName CARDS = new ServiceName("cards");

  private static void apply(EntryFixture fixture, String drains) {
    String hash = ConfiguredAccountDirectory.toHash(SALT, ACCOUNT_KEY);
    String base =
        "{\"services\":{\"cards\":{\"model\":\"cards-1\",\"engine\":\"e\","
            + "\"replica\":{\"instances\":2,\"count\":2}}},\"fencing\":{\"e\":\"enforced\"},"
            + "\"accounts\":{\"salon\":{\"keys\":[{\"salt\":\""
            + SALT
            + "\",\"hash\":\""
            + hash
            + "\"}]}},\"drains\":{\"instances\":{"
            + drains
            + "}}}";
    ConfigurationDocument document =
        new ConfigurationDocument(JsonUtils.parse(base), new TreeMap<>());
    HttpCaller caller = new HttpCaller("test");
    ConfigurationStore store =
        new ConfigurationStore(
            new HttpTableService(caller, fixture.getPlatformAddress(), TIMEOUT),
            new HttpObjectStore(caller, fixture.getPlatformAddress(), TIMEOUT));
    long version = store.readHead().join().map(h -> h.record().version()).orElse(0L);
    CommitOutcome outcome =
        new ConfigurationCommitter(store, Runnable::run)
            .apply(version, "a" + version, "ann", document.toText(), "test")
            .join();
    caller.close();
    assertTrue(outcome instanceof CommitOutcome.Accepted, outcome.toString());
  }

  private static int countOpenReplicas(EntryFixture fixture) {
    return fixture.getDaemon().getViews().get().getOpen(CARDS).size();
  }

  private static int requestCompletion(EntryFixture fixture, String key) throws Exception {
    return fixture
        .getClient()
        .send(
            fixture
                .newRequest("/v1/completions")
                .setHeader("authorization", "Bearer " + key)
                .POST(BodyPublishers.ofString(EntryFixture.newBody(1, false)))
                .build(),
            BodyHandlers.discarding())
        .statusCode();
  }

  /** Tests of the effects of an accepted version. */
  public static class InForce {

    @Test
    public void replacesTheAccountsOfTheSettings() throws Exception {
      try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(1))) {
        assertEquals(requestCompletion(fixture, EntryFixture.KEY), 200);
        apply(fixture, "");
        EntryFixture.await(() -> isKeyAccepted(fixture, ACCOUNT_KEY));
        assertEquals(requestCompletion(fixture, EntryFixture.KEY), 401);
        assertEquals(requestCompletion(fixture, "salon.wrong"), 401);
      }
    }

    @Test
    public void drainsAndReopensAReplica() throws Exception {
      try (EntryFixture fixture = new EntryFixture(Duration.ofMillis(1))) {
        String member =
            fixture.getDaemon().getViews().get().getOpen(CARDS).get(0).assignment().getHead().id()
                + "";
        apply(fixture, "\"" + member + "\":\"fan\"");
        EntryFixture.await(() -> countOpenReplicas(fixture) == 1);
        apply(fixture, "");
        EntryFixture.await(() -> countOpenReplicas(fixture) == 2);
      }
    }
  }

  private static boolean isKeyAccepted(EntryFixture fixture, String key) {
    try {
      return requestCompletion(fixture, key) == 200;
    } catch (Exception e) {
      throw new AssertionError("the request to the entry failed", e);
    }
  }
}
