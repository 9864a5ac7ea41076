package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Tests {@link Forwarder} in virtual time with targets that fall silent or trickle. */
public class ForwarderSilenceTest extends SilenceTestBase {

  private void assertNoRetry() {
    assertEquals(attempts.size(), 1);
    assertNoFailure();
    assertEquals(stalledTargets, List.of());
  }

  @Test
  public void streamThatPausesForAMomentIsNotCut() {
    responses.add(
        after(Duration.ofMillis(100), event(1)).concatWith(after(SOUND_SILENCE, event(2))));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoRetry();
  }

  @Test
  public void streamWhoseFirstEventIsLateIsNotCut() {
    responses.add(after(SOUND_SILENCE, event(1) + event(2)));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoRetry();
  }

  @Test
  public void streamOfALostTargetIsResumedBeforeItsCallerLeaves() {
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(silent()));
    responses.add(after(Duration.ofMillis(100), event(2)));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    Duration gap = caller.eventTimes.get(1).minus(caller.eventTimes.get(0));
    assertTrue(gap.compareTo(CALLER_PATIENCE) < 0, "gap " + gap);
    assertEquals(stalledTargets, attempts.subList(0, 1));
  }

  @Test
  public void streamThatGetsNoFirstEventIsRestartedBeforeItsCallerLeaves() {
    responses.add(silent());
    responses.add(after(Duration.ofMillis(100), event(1) + event(2)));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    Duration first = caller.eventTimes.get(0);
    assertTrue(first.compareTo(CALLER_PATIENCE) < 0, "first event after " + first);
  }

  @Test
  public void silentTargetGetsNoNewRequestUntilItsNextEvent() {
    targets.remove(1);
    responses.add(
        after(Duration.ofMillis(100), event(1)).concatWith(after(SOUND_SILENCE, event(2))));
    responses.add(after(Duration.ofMillis(100), event(1) + event(2)));
    Caller paused = startStream();
    advance(Duration.ofMillis(800));
    Caller refused = startStream();
    assertEquals(((ForwardException) refused.error).getOutcome(), Outcome.NOT_RUN);
    advance(Duration.ofMillis(510));
    Caller later = startStream();
    advance(TIMEOUT);
    paused.assertTwoEvents();
    later.assertTwoEvents();
    assertEquals(attempts.size(), 2);
  }

  @Test
  public void silentTargetGetsNewRequestsOnceItSendsAFirstEvent() {
    targets.remove(1);
    responses.add(after(SOUND_SILENCE, event(1) + event(2)));
    responses.add(after(Duration.ofMillis(100), event(1) + event(2)));
    Caller paused = startStream();
    advance(Duration.ofMillis(1100));
    Caller refused = startStream();
    assertEquals(((ForwardException) refused.error).getOutcome(), Outcome.NOT_RUN);
    advance(Duration.ofMillis(110));
    Caller later = startStream();
    advance(TIMEOUT);
    paused.assertTwoEvents();
    later.assertTwoEvents();
  }

  @Test
  public void streamOfATargetThatIsNoLongerListedGoesOn() {
    responses.add(
        after(Duration.ofMillis(100), event(1))
            .concatWith(after(Duration.ofMillis(400), event(2))));
    Caller caller = startStream();
    advance(Duration.ofMillis(200));
    targets.clear();
    placer.retain(Set.of());
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoRetry();
  }

  @Test
  public void streamThatCanNotBeResumedIsLeftAtASilentTarget() {
    responses.add(
        after(Duration.ofMillis(100), event(1))
            .concatWith(after(CALLER_PATIENCE.plusMillis(700), event(2))));
    Caller caller = new Caller(newStreamRoute(false));
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertEquals(stalledTargets, attempts, "a stall is reported once");
  }

  @Test
  public void streamOnItsLastAttemptIsLeftAtASilentTarget() {
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(silent()));
    responses.add(after(CALLER_PATIENCE, event(2)));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertEquals(attempts.size(), ForwardFixtures.MAX_ATTEMPTS);
  }

  @Test
  public void streamIsLeftAtASilentTargetIfNoOtherTargetCanTakeIt() {
    targets.remove(1);
    responses.add(
        after(Duration.ofMillis(100), event(1)).concatWith(after(LONG_SILENCE, event(2))));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoFailure();
  }

  @Test
  public void streamsAreLeftAtTheirTargetsIfAllTargetsAreSilent() {
    for (int i = 0; i < 6; i++) {
      responses.add(
          after(Duration.ofMillis(200), event(1)).concatWith(after(LONG_SILENCE, event(2))));
    }
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      callers.add(startStream());
    }
    advance(TIMEOUT);
    callers.forEach(Caller::assertTwoEvents);
    assertNoFailure();
  }

  @Test
  public void streamIsLeftAtASilentTargetIfTheBudgetDeniesARetry() {
    allowedRetries = 0;
    responses.add(
        after(Duration.ofMillis(100), event(1)).concatWith(after(LONG_SILENCE, event(2))));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoFailure();
  }

  @Test
  public void streamOfASilentTargetIsResumedOnceAnotherTargetCanTakeIt() {
    Target later = targets.remove(1);
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(silent()));
    responses.add(after(Duration.ofMillis(100), event(2)));
    Caller caller = startStream();
    advance(Duration.ofMillis(1700));
    targets.add(later);
    advance(Duration.ofMillis(300));
    caller.assertTwoEvents();
    assertEquals(attempts.size(), 2);
  }

  @Test
  public void streamThatNoOtherTargetCanTakeEndsWithItsTimeout() {
    targets.remove(1);
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(silent()));
    Caller caller = startStream();
    advance(TIMEOUT);
    assertTrue(((ForwardException) caller.error).isTimeout());
    assertEquals(caller.end, TIMEOUT);
  }

  /** Starts a stream of an entry that then counts as isolated, and that others may serve. */
  private Caller startIsolatedStream(Duration silence) {
    relay.isAvailable = true;
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(after(silence, event(2))));
    Caller caller = startStream();
    advance(Duration.ofMillis(200));
    reachability.isIsolated = true;
    return caller;
  }

  @Test
  public void streamIsLeftAtASilentTargetIfNoOtherEntryAcceptsIt() {
    Caller caller = startIsolatedStream(LONG_SILENCE.plusMillis(500));
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoFailure();
    assertTrue(relay.offers > 1 && relay.offers < 6, "offers " + relay.offers);
  }

  @Test
  public void streamOfASilentTargetMovesToAnEntryThatAcceptsIt() {
    relay.acceptance =
        Mono.delay(Duration.ofMillis(20))
            .map(t -> relay.newAcceptance(after(Duration.ofMillis(100), event(2))));
    Caller caller = startIsolatedStream(TIMEOUT);
    advance(TIMEOUT);
    caller.assertTwoEvents();
    Duration gap = caller.eventTimes.get(1).minus(caller.eventTimes.get(0));
    assertTrue(gap.compareTo(CALLER_PATIENCE) < 0, "gap " + gap);
    assertEquals(relay.requests.get(0).lastEventId(), OptionalLong.of(1));
    assertEquals(relay.withdrawnOffers, 0);
  }

  @Test
  public void streamIsLeftAtASilentTargetIfTheBudgetDeniesAnAcceptedOffer() {
    allowedRetries = 0;
    relay.acceptance = Mono.fromSupplier(() -> relay.newAcceptance(silent()));
    Caller caller = startIsolatedStream(LONG_SILENCE);
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoFailure();
    assertEquals(relay.requests, List.of());
    assertEquals(relay.withdrawnOffers, relay.offers);
  }

  @Test
  public void offerOfASilentStreamIsWithdrawnIfItsTargetGoesOn() {
    relay.acceptance = Mono.never();
    Caller caller = startIsolatedStream(LONG_SILENCE);
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertNoFailure();
    assertEquals(relay.offers, 1);
    assertEquals(relay.withdrawnOffers, 1);
  }

  @Test
  public void silentStreamThatCanNotBeResumedEndsWithItsTimeout() {
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(silent()));
    Caller caller = new Caller(newStreamRoute(false));
    advance(TIMEOUT);
    assertTrue(((ForwardException) caller.error).isTimeout());
    assertEquals(caller.end, TIMEOUT);
  }

  /** Provides bytes that keep a connection busy but complete no event. */
  @DataProvider
  public Object[][] bytesWithoutEvent() {
    return new Object[][] {{"\n"}, {"\r\n"}, {": waiting\n\n"}, {":\r\n\r\n"}, {"d"}};
  }

  @Test(dataProvider = "bytesWithoutEvent")
  public void streamThatTricklesWithoutEventsIsResumed(String bytes) {
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(trickle(bytes)));
    responses.add(after(Duration.ofMillis(100), event(2)));
    Caller caller = startStream();
    advance(TIMEOUT);
    assertTrue(caller.isComplete, "error " + caller.error);
    assertTrue(caller.body.toString().endsWith(event(2)));
    Duration end = caller.end;
    assertTrue(end.compareTo(CALLER_PATIENCE) < 0, "resumed after " + end);
  }

  @Test
  public void streamThatRepeatsAnEventIsResumed() {
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(trickle(event(1))));
    responses.add(after(Duration.ofMillis(100), event(2)));
    Caller caller = startStream();
    advance(TIMEOUT);
    caller.assertTwoEvents();
    assertEquals(attempts.size(), 2);
    assertEquals(stalledTargets, List.of());
  }

  @Test
  public void streamThatNeverEndsIsEndedByItsTimeout() {
    int[] id = new int[1];
    responses.add(trickle("").map(p -> ForwardFixtures.newBodyChunk(event(++id[0]))));
    Caller caller = startStream();
    advance(TIMEOUT);
    assertTrue(((ForwardException) caller.error).isTimeout());
    assertEquals(caller.end, TIMEOUT);
    assertEquals(attempts.size(), 1);
  }

  @Test
  public void lookupThatTricklesIsRetried() {
    responses.add(trickle("x"));
    responses.add(after(Duration.ofMillis(100), "done"));
    Caller caller = new Caller(ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT));
    advance(TIMEOUT);
    assertEquals(caller.body.toString(), "done");
    assertTrue(caller.isComplete);
  }

  @Test
  public void lookupIsLeftAtASlowTargetIfNoOtherTargetCanTakeIt() {
    targets.remove(1);
    responses.add(after(TIMEOUT.minusMillis(100), "done"));
    Caller caller = new Caller(ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT));
    advance(TIMEOUT);
    assertNull(caller.error);
    assertEquals(caller.body.toString(), "done");
    assertNoFailure();
  }

  @Test
  public void lateLookupCountsAsOneSilence() {
    targets.remove(1);
    responses.add(after(TIMEOUT.minusMillis(100), "done"));
    Caller caller = new Caller(ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT));
    advance(TIMEOUT);
    assertEquals(caller.body.toString(), "done");
    assertEquals(reachability.silences, 1);
  }

  @Test
  public void responseThatIsPassedOnWhileItsSuccessorIsSecuredIsNotReplaced() {
    Sinks.Many<ResponsePart> parts = Sinks.many().unicast().onBackpressureBuffer();
    responses.add(parts.asFlux());
    responses.add(after(Duration.ofMillis(1), "other"));
    Caller caller = new Caller(ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT));
    parts.tryEmitNext(ForwardFixtures.newHead(ID, 200));
    relay.availabilityListener =
        () -> {
          relay.availabilityListener = () -> {};
          parts.tryEmitNext(new ResponsePart.BodyChunk(new byte[HeldResponse.MAX_HELD_BYTES + 1]));
        };
    advance(TIMEOUT);
    assertEquals(attempts.size(), 1);
    assertTrue(caller.error instanceof ForwardException);
  }

  @Test
  public void silentStreamIsNotOfferedToOtherEntriesWithoutABudget() {
    allowedRetries = 0;
    relay.isAvailable = true;
    relay.acceptance = Mono.just(relay.newAcceptance(Flux.empty()));
    responses.add(after(Duration.ofMillis(100), event(1)).concatWith(silent()));
    Caller caller = startStream();
    advance(Duration.ofMillis(200));
    reachability.isIsolated = true;
    advance(TIMEOUT);
    assertTrue(((ForwardException) caller.error).isTimeout());
    assertEquals(relay.offers, 0);
  }

  @Test
  public void lookupIsLeftAtASlowTargetIfTheBudgetDeniesARetry() {
    allowedRetries = 0;
    responses.add(after(TIMEOUT.minusMillis(100), "done"));
    Caller caller = new Caller(ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT));
    advance(TIMEOUT);
    assertNull(caller.error);
    assertEquals(caller.body.toString(), "done");
    assertNoFailure();
  }

  @Test
  public void lookupIsLeftAtASlowTargetIfNoOtherEntryAcceptsIt() {
    relay.isAvailable = true;
    reachability.isImpaired = true;
    placer.suspect(targets.get(1).id(), now().toNanos());
    responses.add(after(TIMEOUT.minusMillis(100), "done"));
    Caller caller = new Caller(ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT));
    advance(TIMEOUT);
    assertNull(caller.error);
    assertEquals(caller.body.toString(), "done");
    assertNoFailure();
    assertTrue(relay.offers > 1, "offers " + relay.offers);
  }

  @Test
  public void orderThatTricklesEndsWithItsTimeout() {
    responses.add(trickle("x"));
    Caller caller =
        new Caller(ForwardFixtures.newRoute(RequestKind.NON_IDEMPOTENT, false, TIMEOUT));
    advance(TIMEOUT);
    ForwardException error = (ForwardException) caller.error;
    assertTrue(error.isTimeout());
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertEquals(caller.body.toString(), "");
    assertEquals(caller.end, TIMEOUT);
    assertEquals(attempts.size(), 1);
  }
}
