package io.fireflyshed.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import io.fireflyshed.coordination.retry.RetryAfterSchedule;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TargetPlacer} under load in virtual time. */
public class TargetPlacerTest {

  private static final String POOL = "model";
  private static final int SLOTS = 18;
  private static final PlacementSettings SETTINGS = PlacementSettings.ofDefaults();
  private TargetPlacer placer;
  private List<Target> targets;
  private UniformRandomProvider random;
  private ManualClock clock;
  private EntrySchedule schedule;

  /** Creates a placer and four targets. */
  @BeforeMethod
  public void setUp() {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    clock = new ManualClock();
    schedule = new EntrySchedule(0, 1, new SharedClock(clock));
    placer = new TargetPlacer(SETTINGS, new AvailabilityZone("a"), random, schedule);
    targets = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      targets.add(newTarget("t" + i, "a"));
    }
  }

  private static Target newTarget(String id, String zone) {
    return new Target(
        new InstanceId(id),
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone(zone),
        false,
        SLOTS,
        1,
        Optional.empty());
  }

  private static long millis(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }

  private Placement place(long nowMillis) {
    return placer.place(RequestDescriptor.ofPool(POOL, true), targets, Set.of(), millis(nowMillis));
  }

  /** A request that ends at a given time. */
  private record Completion(long millis, InstanceId target) {}

  /** Chooses the target of the next request. */
  private interface Policy {
    Target choose(int number, long nowMillis);
  }

  /**
   * Simulates requests of random duration.
   *
   * @return the mean difference between the requests in flight of the most and the least loaded
   *     target
   */
  private double measureImbalance(Policy policy) {
    UniformRandomProvider durations = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    PriorityQueue<Completion> running =
        new PriorityQueue<>((a, b) -> Long.compare(a.millis(), b.millis()));
    Map<InstanceId, Integer> inFlight = new HashMap<>();
    targets.forEach(t -> inFlight.put(t.id(), 0));
    double sum = 0;
    int requests = 800;
    for (int i = 0; i < requests; i++) {
      long now = i * 25L;
      while (!running.isEmpty() && running.peek().millis() <= now) {
        Completion completion = running.poll();
        placer.onEnd(POOL, completion.target(), millis(now));
        inFlight.merge(completion.target(), -1, Integer::sum);
      }
      Target target = policy.choose(i, now);
      placer.onStart(target.id());
      inFlight.merge(target.id(), 1, Integer::sum);
      running.add(new Completion(now + 100 + durations.nextInt(2000), target.id()));
      sum += Collections.max(inFlight.values()) - Collections.min(inFlight.values());
    }
    return sum / requests;
  }

  @Test
  public void loadIsSpreadMoreEvenlyThanByRoundRobin() {
    double roundRobin = measureImbalance((i, now) -> targets.get(i % targets.size()));
    setUp();
    double placed = measureImbalance((i, now) -> ((Placement.Send) place(now)).target());
    assertTrue(
        placed < roundRobin / 2, placed + " in flight against " + roundRobin + " with round robin");
  }

  @Test
  public void burstBeyondCapacityIsRefusedWithGrowingRetryDelays() {
    int capacity = targets.size() * (SLOTS + SETTINGS.maxQueuedPerReplica());
    List<Duration> delays = new ArrayList<>();
    for (int i = 0; i < capacity + 20; i++) {
      Placement placement = place(0);
      if (placement instanceof Placement.Send send) {
        placer.onStart(send.target().id());
      } else {
        delays.add(((Placement.Refuse) placement).retryAfter());
      }
    }
    assertEquals(delays.size(), 20);
    for (int i = 1; i < 8; i++) {
      assertTrue(delays.get(i).compareTo(delays.get(i - 1)) > 0, "delay " + i);
    }
    assertTrue(delays.get(19).compareTo(RetryAfterSchedule.MAX_WAIT) <= 0);
  }

  @Test
  public void loadCausedByOtherEntriesIsLearnedFromAnswers() {
    placer.onLoad(targets.get(0).id(), 17, SLOTS, 0);
    for (int i = 0; i < 12; i++) {
      Target target = ((Placement.Send) place(0)).target();
      assertTrue(!target.id().value().equals("t0"));
      placer.onStart(target.id());
    }
  }

  @Test
  public void stalledTargetIsLeftOutUntilItMakesProgress() {
    targets.subList(1, 4).clear();
    placer.suspect(targets.get(0).id(), 0);
    assertTrue(place(100) instanceof Placement.Refuse);
    placer.onProgress(targets.get(0).id(), Duration.ofMillis(50));
    assertTrue(place(200) instanceof Placement.Send);
  }

  @Test
  public void silentTargetIsLeftOutUntilItsFirstEvent() {
    targets.subList(1, 4).clear();
    InstanceId id = targets.get(0).id();
    placer.onSilent(id, 0);
    assertTrue(place(100) instanceof Placement.Refuse);
    placer.onSignOfLife(id);
    assertTrue(place(100) instanceof Placement.Send);
  }

  @Test
  public void targetThatIsNoLongerFoundSilentIsUsedAgain() {
    targets.subList(1, 4).clear();
    InstanceId id = targets.get(0).id();
    placer.onSilent(id, 0);
    long hold = SETTINGS.silenceHold().toMillis();
    assertTrue(place(hold - 1) instanceof Placement.Refuse);
    assertTrue(place(hold) instanceof Placement.Send);
  }

  @Test
  public void silenceDoesNotShortenTheSuspicionOfAStall() {
    targets.subList(1, 4).clear();
    InstanceId id = targets.get(0).id();
    placer.suspect(id, 0);
    placer.onSilent(id, 0);
    assertTrue(place(SETTINGS.suspectTime().toMillis() - 1) instanceof Placement.Refuse);
  }

  @Test
  public void unreachableTargetIsLeftOutForLongerEachTime() {
    InstanceId id = targets.get(0).id();
    targets.subList(1, 4).clear();
    placer.onUnreachable(id, millis(0));
    placer.onUnreachable(id, millis(300));
    assertTrue(place(900) instanceof Placement.Refuse);
    assertTrue(place(1100) instanceof Placement.Send);
    placer.onUnreachable(id, millis(1500));
    assertTrue(place(3400) instanceof Placement.Refuse);
    assertTrue(place(3600) instanceof Placement.Send);
  }

  @Test
  public void answerResetsTheCountOfFailedConnections() {
    InstanceId id = targets.get(0).id();
    targets.subList(1, 4).clear();
    placer.onUnreachable(id, millis(0));
    placer.onLoad(id, 1, SLOTS, 0);
    placer.onUnreachable(id, millis(2000));
    assertTrue(place(3100) instanceof Placement.Send);
  }

  @Test
  public void retryAfterIsTheTimeUntilTheNextTargetIsTried() {
    targets.forEach(t -> placer.onUnreachable(t.id(), millis(0)));
    assertEquals(((Placement.Refuse) place(600)).retryAfter(), Duration.ofMillis(400));
    assertEquals(((Placement.Refuse) place(950)).retryAfter(), RetryAfterSchedule.MIN_WAIT);
  }

  /**
   * Simulates requests of which the first target fails a fraction.
   *
   * @return the fraction of the requests that the first target received
   */
  private double measureShare(long fromMillis, int requests, double failureRate) {
    int received = 0;
    for (int i = 0; i < requests; i++) {
      long now = fromMillis + i * 25L;
      Target target = ((Placement.Send) place(now)).target();
      boolean isFailing = target == targets.get(0);
      received += isFailing ? 1 : 0;
      boolean isSuccess = !isFailing || random.nextDouble() >= failureRate;
      placer.onResult(target.id(), isSuccess, millis(now));
    }
    return received / (double) requests;
  }

  @Test
  public void failingTargetGetsFewRequestsUntilItRecovers() {
    double healthy = measureShare(0, 400, 0);
    double failing = measureShare(10_000, 400, 0.45);
    double recovered = measureShare(30_000, 400, 0);
    assertTrue(healthy > 0.2, "healthy: " + healthy);
    assertTrue(failing < 0.05, "failing: " + failing);
    assertTrue(recovered > 0.2, "recovered: " + recovered);
  }

  @Test
  public void slowTargetGetsFewerRequests() {
    for (int i = 0; i < 40; i++) {
      placer.onProgress(targets.get(0).id(), Duration.ofMillis(600));
      for (int t = 1; t < 4; t++) {
        placer.onProgress(targets.get(t).id(), Duration.ofMillis(50));
      }
    }
    int slow = 0;
    for (int i = 0; i < 40; i++) {
      Target target = ((Placement.Send) place(100)).target();
      placer.onStart(target.id());
      slow += target.id().value().equals("t0") ? 1 : 0;
    }
    assertTrue(slow <= 2, slow + " requests went to the slow target");
  }

  @Test
  public void ownZoneIsPreferredAtEqualLoad() {
    targets.set(0, newTarget("t0", "b"));
    for (int i = 0; i < 3; i++) {
      Target target = ((Placement.Send) place(0)).target();
      assertEquals(target.zone().value(), "a");
    }
  }

  private void limitAll(double requestsPerSecond) {
    targets.forEach(t -> placer.onRequestLimit(t.id(), OptionalDouble.of(requestsPerSecond)));
  }

  @Test
  public void limitedTargetsGetTheRequestsOfOneEntryInTurn() {
    schedule.setRank(0, 4);
    limitAll(2);
    // A quarter of 2 requests a second at four targets in 20 seconds.
    assertEquals(countSentRequests(i -> {}), 40, 4);
  }

  /** Sends as many requests as the limits admit in 20 seconds, with a step before each attempt. */
  private int countSentRequests(IntConsumer step) {
    int sent = 0;
    for (int i = 0; i < 1000; i++) {
      clock.advance(Duration.ofMillis(20));
      step.accept(i);
      if (place(0) instanceof Placement.Send send) {
        placer.onStart(send.target().id());
        placer.onEnd(POOL, send.target().id(), 0);
        sent++;
      }
    }
    return sent;
  }

  @Test
  public void limitThatVariesWithEachResponseAdmitsNoMoreRequests() {
    schedule.setRank(0, 4);
    int sent = countSentRequests(i -> limitAll(i % 2 == 0 ? 2 : 2.1));
    assertTrue(sent <= 46, sent + " requests sent");
  }

  @Test
  public void targetWhoseRegistrationChangedKeepsItsLimit() {
    schedule.setRank(0, 4);
    limitAll(2);
    int sent = countSentRequests(i -> targets.forEach(t -> placer.reset(t.id())));
    assertTrue(sent <= 44, sent + " requests sent");
  }

  @Test
  public void targetThatIsUnlistedForAMomentKeepsItsLimit() {
    schedule.setRank(0, 4);
    limitAll(2);
    int sent = countSentRequests(i -> placer.retain(Set.of()));
    assertTrue(sent <= 44, sent + " requests sent");
  }

  @Test
  public void limitOfTargetThatIsGoneIsForgotten() {
    limitAll(2);
    clock.advance(Duration.ofMinutes(2));
    placer.retain(Set.of());
    assertEquals(placer.countLimitedTargets(), 0);
  }

  @Test
  public void requestThatNoLimitAdmitsIsRefusedWithATimeToComeBack() {
    schedule.setRank(0, 40);
    limitAll(2);
    for (int i = 0; i < 100; i++) {
      clock.advance(Duration.ofMillis(20));
      if (place(0) instanceof Placement.Refuse refusal) {
        long wait = refusal.retryAfter().toMillis();
        assertTrue(wait >= 150 && wait <= 1600, "retry after " + wait + " ms");
        return;
      }
      targets.forEach(t -> placer.onStart(t.id()));
    }
    fail("no request was refused");
  }

  @Test
  public void entryOfUnknownRankSendsNothingToLimitedTargets() {
    limitAll(1000);
    assertTrue(place(0) instanceof Placement.Refuse);
  }

  @Test
  public void targetWithoutLimitIsUsedAgainAtOnce() {
    limitAll(0);
    targets.forEach(t -> placer.onRequestLimit(t.id(), OptionalDouble.empty()));
    assertTrue(place(0) instanceof Placement.Send);
  }

  private Placement.Cause getRefusalCause(Set<InstanceId> excluded) {
    Placement placement = placer.place(RequestDescriptor.ofPool(POOL, true), targets, excluded, 0);
    return ((Placement.Refuse) placement).cause();
  }

  private Set<InstanceId> getTargetIds() {
    return targets.stream().map(Target::id).collect(Collectors.toSet());
  }

  private void makeUnreachable(List<Target> unreachable) {
    unreachable.forEach(t -> placer.onUnreachable(t.id(), 0));
  }

  @Test
  public void refusalTellsUnreachableTargetsFromFullOnes() {
    makeUnreachable(targets.subList(0, 3));
    placer.onLoad(targets.get(3).id(), 100, SLOTS, 0);
    assertEquals(getRefusalCause(Set.of()), Placement.Cause.AT_CAPACITY);
    makeUnreachable(targets);
    assertEquals(getRefusalCause(Set.of()), Placement.Cause.UNREACHABLE);
  }

  @Test
  public void refusalTellsUnreachableTargetsFromTriedOnes() {
    assertEquals(getRefusalCause(getTargetIds()), Placement.Cause.NO_CANDIDATE);
    makeUnreachable(targets.subList(0, 1));
    assertEquals(getRefusalCause(getTargetIds()), Placement.Cause.UNREACHABLE);
  }

  @Test
  public void refusalWithoutTargetsIsNotBecauseOfReachability() {
    targets.clear();
    assertEquals(getRefusalCause(Set.of()), Placement.Cause.NO_CANDIDATE);
  }

  @Test
  public void refusalTellsRequestLimits() {
    limitAll(1000);
    assertEquals(getRefusalCause(Set.of()), Placement.Cause.AT_REQUEST_LIMIT);
  }

  @Test
  public void requestIsPlaceableOnlyAtReachableTargetsWithCapacity() {
    assertTrue(placer.isPlaceable(targets, true, 0));
    makeUnreachable(targets.subList(0, 3));
    assertTrue(placer.isPlaceable(targets, true, 0));
    placer.onLoad(targets.get(3).id(), 100, SLOTS, 0);
    assertFalse(placer.isPlaceable(targets, true, 0));
    assertFalse(placer.isPlaceable(List.of(), true, 0));
  }

  @Test
  public void requestIsNotPlaceableAtRequestLimits() {
    limitAll(1000);
    assertFalse(placer.isPlaceable(targets, true, 0));
  }

  @Test
  public void forgottenFailuresMakeTargetsUsableAtOnce() {
    makeUnreachable(targets);
    targets.forEach(t -> placer.suspect(t.id(), 0));
    assertTrue(place(0) instanceof Placement.Refuse);
    placer.forgetFailures(Set.of(targets.get(1).id(), new InstanceId("gone")));
    assertEquals(((Placement.Send) place(0)).target(), targets.get(1));
  }
}
