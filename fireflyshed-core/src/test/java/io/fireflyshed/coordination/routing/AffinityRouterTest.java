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

  /** A router before a few replicas. */
  private static final class Harness {

    private final ManualClock clock = new ManualClock();
    private final RouterSettings settings = RouterSettings.of(NEAR, Duration.ofMillis(20));
    private final UniformRandomProvider rng = RandomSource.XO_SHI_RO_256_PP.create(SEED);
    private final AffinityRouter router = new AffinityRouter(settings, clock, rng);
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

    /** Runs a request of some tokens on a replica. */
    void run(ReplicaId replica, int tokens, Duration gap) {
      RouteRequest request = newRequest("run");
      router.onStart(replica, request);
      for (int i = 0; i < tokens; i++) {
        clock.advance(gap);
        router.onTokens(replica, request, 1, clock.nanoTime());
      }
      router.onEnd(replica, request);
    }

    void reportAll(int active) {
      open.forEach(r -> router.onLoad(r.assignment().id(), active, clock.nanoTime()));
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
    public void returnsToTheReplicaThatHoldsThePrefix() {
      Harness harness = new Harness(20, 0);
      RouteRequest first = newRequest(newPrompt("foils"));
      harness.router.onStart(harness.getId(13), first);
      harness.router.onEnd(harness.getId(13), first);
      for (int i = 0; i < 10; i++) {
        assertEquals(harness.choose(newRequest(newPrompt("foils") + i)), harness.getId(13));
      }
    }

    @Test
    public void believesCacheChangesOfOthersRequests() {
      Harness harness = new Harness(20, 0);
      List<CacheChange> changes = new ArrayList<>();
      for (long block : PrefixBlocks.of(newPrompt("toner"))) {
        changes.add(new CacheChange(changes.size() + 1, block, true));
      }
      harness.router.onCacheChanges(harness.getId(5), changes, harness.clock.nanoTime());
      assertEquals(harness.choose(newRequest(newPrompt("toner"))), harness.getId(5));
    }

    @Test
    public void twoProcessesAgreeOnTheHomeOfANewPrompt() {
      Harness one = new Harness(20, 0);
      Harness other = new Harness(20, 0);
      one.reportAll(0);
      other.reportAll(0);
      int agreed = 0;
      for (int i = 0; i < 100; i++) {
        RouteRequest request = newRequest(newPrompt("card" + i));
        agreed += one.choose(request).equals(other.choose(request)) ? 1 : 0;
      }
      assertTrue(agreed > 50, "agreed on " + agreed);
    }

    @Test
    public void passesOverAnOverloadedHolder() {
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
    public void staysInTheZoneUnlessAnotherPays() {
      Harness harness = new Harness(3, 3);
      harness.reportAll(2);
      for (int i = 0; i < 50; i++) {
        ReplicaId chosen = harness.choose(newRequest(newPrompt("near" + i)));
        assertTrue(chosen.value().compareTo("r3") < 0, "went far: " + chosen);
      }
      harness.clock.advance(Duration.ofSeconds(1));
      for (int i = 0; i < 3; i++) {
        harness.router.onLoad(harness.getId(i), 90, harness.clock.nanoTime());
      }
      harness.clock.advance(Duration.ofSeconds(1));
      assertTrue(harness.choose(newRequest("short")).value().compareTo("r3") >= 0);
    }

    @Test
    public void takesNeitherExpiredNorExcludedReplicas() {
      Harness harness = new Harness(1, 0);
      harness.open.add(newReplica("expired", NEAR, harness.clock.nanoTime()));
      RouteRequest request = new RouteRequest(SERVICE, "text", Set.of(harness.getId(0)));
      ServingView view = new ServingView(Map.of(), Map.of(SERVICE, harness.open), Map.of());
      assertTrue(harness.router.choose(view, request, harness.clock.nanoTime()).isEmpty());
      assertEquals(harness.choose(newRequest("text")), harness.getId(0));
    }
  }

  /** Tests of stragglers. */
  public static class Stragglers {

    private static final Duration USUAL = Duration.ofMillis(20);
    private static final int TOKENS = 80;

    private static Harness newHarnessWithStraggler() {
      Harness harness = new Harness(8, 0);
      for (int i = 0; i < 8; i++) {
        harness.run(harness.getId(i), TOKENS, i == 0 ? USUAL.multipliedBy(4) : USUAL);
      }
      harness.choose(newRequest("text"));
      return harness;
    }

    @Test
    public void ejectsAStragglerAndTakesItBackOnceItHasRecovered() {
      Harness harness = newHarnessWithStraggler();
      ReplicaId slow = harness.getId(0);
      assertTrue(harness.router.isEjected(slow));
      for (int i = 0; i < 50; i++) {
        assertNotEquals(harness.choose(newRequest("text" + i)), slow);
      }
      harness.clock.advance(Duration.ofSeconds(6));
      assertEquals(harness.choose(newRequest("probe")), slow);
      harness.run(slow, TOKENS, USUAL);
      harness.choose(newRequest("text"));
      assertFalse(harness.router.isEjected(slow));
    }

    @Test
    public void keepsAReplicaOutWhileItIsBetweenTheRatios() {
      Harness harness = newHarnessWithStraggler();
      ReplicaId slow = harness.getId(0);
      harness.clock.advance(Duration.ofSeconds(6));
      harness.run(slow, TOKENS, USUAL.multipliedBy(9).dividedBy(5));
      harness.choose(newRequest("text"));
      assertTrue(harness.router.isEjected(slow));
    }

    @Test
    public void ejectsAReplicaThatFallsSilent() {
      Harness harness = new Harness(8, 0);
      for (int i = 0; i < 8; i++) {
        harness.run(harness.getId(i), TOKENS, USUAL);
      }
      harness.router.onStart(harness.getId(3), newRequest("stuck"));
      harness.clock.advance(Duration.ofSeconds(11));
      harness.choose(newRequest("text"));
      assertTrue(harness.router.isEjected(harness.getId(3)));
    }

    @Test
    public void neverEjectsMostReplicas() {
      Harness harness = new Harness(8, 0);
      for (int i = 0; i < 8; i++) {
        harness.run(harness.getId(i), TOKENS, i < 4 ? USUAL.multipliedBy(5) : USUAL);
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
      UniformRandomProvider rng = RandomSource.XO_SHI_RO_256_PP.create();
      AffinityRouter router = new AffinityRouter(settings, harness.clock, rng);
      router.onLoad(harness.getId(0), 12, harness.clock.nanoTime());
      ServingView view = new ServingView(Map.of(), Map.of(SERVICE, harness.open), Map.of());
      Optional<OpenReplica> choice =
          router.choose(view, newRequest("text"), harness.clock.nanoTime());
      assertTrue(choice.isPresent());
    }
  }
}
