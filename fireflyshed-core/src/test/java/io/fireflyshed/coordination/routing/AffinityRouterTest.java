package io.fireflyshed.coordination.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests {@link AffinityRouter}. */
public class AffinityRouterTest {

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final AvailabilityZone NEAR = new AvailabilityZone("near");
  private static final AvailabilityZone FAR = new AvailabilityZone("far");
  private static final long SEED = 7;

  /** A router with a few open replicas. */
  private static final class Harness {

    private final ManualClock clock = new ManualClock();
    private final RouterSettings settings = RouterSettings.of(NEAR, Duration.ofMillis(20));
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
    private final AffinityRouter router = new AffinityRouter(settings, clock, random);
    private final List<OpenReplica> open = new ArrayList<>();

    Harness(int near, int far) {
      for (int i = 0; i < near + far; i++) {
        open.add(newReplica("r" + i, i < near ? NEAR : FAR, Long.MAX_VALUE / 2));
      }
    }

    ReplicaId choose(RouteRequest request) {
      ServingView view = new ServingView(Map.of(), Map.of(SERVICE, open), Map.of());
      return router
          .choose(view, request, clock.nanoTime())
          .map(r -> r.assignment().id())
          .orElseThrow();
    }

    /** Runs a request that returns a number of tokens at regular intervals. */
    void runRequest(ReplicaId replica, int tokens, Duration interTokenTime) {
      RouteRequest request = newRequest("run");
      router.onStart(replica, request);
      for (int i = 0; i < tokens; i++) {
        clock.advance(interTokenTime);
        router.onTokens(replica, request, 1, clock.nanoTime());
      }
      router.onEnd(replica, request);
    }

    void reportAll(int activeRequests) {
      open.forEach(r -> router.onLoad(r.assignment().id(), activeRequests, clock.nanoTime()));
    }

    ReplicaId getId(int i) {
      return open.get(i).assignment().id();
    }
  }

  private static OpenReplica newReplica(String id, AvailabilityZone zone, long expiryNanos) {
    InstanceRecord head =
        new InstanceRecord(
            new InstanceId("i-" + id),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            zone,
            new FabricDomain("d"),
            8,
            false,
            Optional.empty());
    return new OpenReplica(
        new Assignment(new ReplicaId(id), SERVICE, 1, List.of(head)), expiryNanos);
  }

  private static RouteRequest newRequest(String prompt) {
    return new RouteRequest(SERVICE, prompt, Set.of());
  }

  private static String newPrompt(String word) {
    return (word + " ").repeat(40 * PrefixBlocks.BLOCK_TOKENS);
  }

  /** Tests of the choice by prefix, load and zone. */
  public static class Choice {

    @Test
    public void choosesTheReplicaThatHoldsThePrefix() {
      Harness harness = new Harness(20, 0);
      RouteRequest first = newRequest(newPrompt("foils"));
      harness.router.onStart(harness.getId(13), first);
      harness.router.onEnd(harness.getId(13), first);
      for (int i = 0; i < 10; i++) {
        assertEquals(harness.choose(newRequest(newPrompt("foils") + i)), harness.getId(13));
      }
    }

    @Test
    public void choosesTheReplicaWhoseCacheChangesShowThePrefix() {
      Harness harness = new Harness(20, 0);
      List<CacheChange> changes = new ArrayList<>();
      for (long block : PrefixBlocks.of(newPrompt("toner"))) {
        changes.add(new CacheChange(changes.size() + 1, block, true));
      }
      harness.router.onCacheChanges(harness.getId(5), changes, harness.clock.nanoTime());
      assertEquals(harness.choose(newRequest(newPrompt("toner"))), harness.getId(5));
    }

    @Test
    public void agreesWithAnotherProcessOnMostNewPrompts() {
      Harness one = new Harness(20, 0);
      Harness other = new Harness(20, 0);
      one.reportAll(0);
      other.reportAll(0);
      int agreed = 0;
      for (int i = 0; i < 100; i++) {
        RouteRequest request = newRequest(newPrompt("card" + i));
        agreed += one.choose(request).equals(other.choose(request)) ? 1 : 0;
      }
      assertTrue(agreed > 50, "prompts with the same choice: " + agreed);
    }

    @Test
    public void avoidsAnOverloadedReplicaThatHoldsThePrefix() {
      Harness harness = new Harness(20, 0);
      RouteRequest first = newRequest(newPrompt("foils"));
      harness.router.onStart(harness.getId(13), first);
      harness.router.onEnd(harness.getId(13), first);
      harness.clock.advance(Duration.ofSeconds(2));
      harness.reportAll(4);
      harness.clock.advance(Duration.ofSeconds(1));
      harness.router.onLoad(harness.getId(13), 60, harness.clock.nanoTime());
      assertNotEquals(harness.choose(newRequest(newPrompt("foils"))), harness.getId(13));
    }

    @Test
    public void staysInTheZoneUntilItsReplicasAreOverloaded() {
      Harness harness = new Harness(3, 3);
      harness.reportAll(2);
      for (int i = 0; i < 50; i++) {
        ReplicaId chosen = harness.choose(newRequest(newPrompt("near" + i)));
        assertTrue(
            chosen.value().compareTo("r3") < 0, "chose a replica in another zone: " + chosen);
      }
      harness.clock.advance(Duration.ofSeconds(1));
      for (int i = 0; i < 3; i++) {
        harness.router.onLoad(harness.getId(i), 90, harness.clock.nanoTime());
      }
      harness.clock.advance(Duration.ofSeconds(1));
      assertTrue(harness.choose(newRequest("short")).value().compareTo("r3") >= 0);
    }

    @Test
    public void choosesNeitherExpiredNorExcludedReplicas() {
      Harness harness = new Harness(1, 0);
      harness.open.add(newReplica("expired", NEAR, harness.clock.nanoTime()));
      RouteRequest request = new RouteRequest(SERVICE, "text", Set.of(harness.getId(0)));
      ServingView view = new ServingView(Map.of(), Map.of(SERVICE, harness.open), Map.of());
      assertTrue(harness.router.choose(view, request, harness.clock.nanoTime()).isEmpty());
      assertEquals(harness.choose(newRequest("text")), harness.getId(0));
    }
  }

  /** Tests of the ejection of stragglers. */
  public static class Stragglers {

    private static final Duration NORMAL_INTER_TOKEN_TIME = Duration.ofMillis(20);
    private static final int TOKENS = 80;

    private static Harness newHarnessWithStraggler() {
      Harness harness = new Harness(8, 0);
      for (int i = 0; i < 8; i++) {
        harness.runRequest(
            harness.getId(i),
            TOKENS,
            i == 0 ? NORMAL_INTER_TOKEN_TIME.multipliedBy(4) : NORMAL_INTER_TOKEN_TIME);
      }
      harness.choose(newRequest("text"));
      return harness;
    }

    @Test
    public void ejectsAStragglerAndReadmitsItAfterItsRecovery() {
      Harness harness = newHarnessWithStraggler();
      ReplicaId slow = harness.getId(0);
      assertTrue(harness.router.isEjected(slow));
      for (int i = 0; i < 50; i++) {
        assertNotEquals(harness.choose(newRequest("text" + i)), slow);
      }
      harness.clock.advance(Duration.ofSeconds(6));
      assertEquals(harness.choose(newRequest("probe")), slow);
      harness.runRequest(slow, TOKENS, NORMAL_INTER_TOKEN_TIME);
      harness.choose(newRequest("text"));
      assertFalse(harness.router.isEjected(slow));
    }

    @Test
    public void keepsAReplicaEjectedBetweenTheReadmitAndEjectRatios() {
      Harness harness = newHarnessWithStraggler();
      ReplicaId slow = harness.getId(0);
      harness.clock.advance(Duration.ofSeconds(6));
      harness.runRequest(slow, TOKENS, NORMAL_INTER_TOKEN_TIME.multipliedBy(9).dividedBy(5));
      harness.choose(newRequest("text"));
      assertTrue(harness.router.isEjected(slow));
    }

    @Test
    public void ejectsAReplicaThatReturnsNoTokens() {
      Harness harness = new Harness(8, 0);
      for (int i = 0; i < 8; i++) {
        harness.runRequest(harness.getId(i), TOKENS, NORMAL_INTER_TOKEN_TIME);
      }
      harness.router.onStart(harness.getId(3), newRequest("stuck"));
      harness.clock.advance(Duration.ofSeconds(11));
      harness.choose(newRequest("text"));
      assertTrue(harness.router.isEjected(harness.getId(3)));
    }

    @Test
    public void limitsTheFractionOfEjectedReplicas() {
      Harness harness = new Harness(8, 0);
      for (int i = 0; i < 8; i++) {
        harness.runRequest(
            harness.getId(i),
            TOKENS,
            i < 4 ? NORMAL_INTER_TOKEN_TIME.multipliedBy(5) : NORMAL_INTER_TOKEN_TIME);
      }
      harness.choose(newRequest("text"));
      long ejected =
          harness.open.stream().filter(r -> harness.router.isEjected(r.assignment().id())).count();
      assertEquals(ejected, 2);
    }
  }

  /** Tests of the example in the Javadoc. */
  public static class Example {

    @Test
    public void runs() {
      Harness harness = new Harness(1, 0);
      RouterSettings settings = RouterSettings.of(NEAR, Duration.ofMillis(2));
      UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create();
      AffinityRouter router = new AffinityRouter(settings, harness.clock, random);
      router.onLoad(harness.getId(0), 12, harness.clock.nanoTime());
      ServingView view = new ServingView(Map.of(), Map.of(SERVICE, harness.open), Map.of());
      Optional<OpenReplica> choice =
          router.choose(view, newRequest("text"), harness.clock.nanoTime());
      assertTrue(choice.isPresent());
    }
  }
}
