package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;

/** Tests that no target gets a request again through another entry if it may have run it. */
public class RelayedTargetsTest extends RelayForwardingTestBase {

  /** Gets the failures of attempts after which their target may have run the request. */
  @DataProvider
  public Object[][] possibleRuns() {
    return new Object[][] {
      {newLostException()},
      {new TargetLostException("forward", "peer", Outcome.UNKNOWN, "no complete response", null)},
      {new AttemptException("forward", "peer", Outcome.UNKNOWN, "unexpected", null)}
    };
  }

  @Test(dataProvider = "possibleRuns")
  public void requestThatMayHaveRunAtATargetReachesItThroughNoOtherEntry(AttemptException error) {
    for (RequestKind kind : List.of(RequestKind.IDEMPOTENT, RequestKind.STREAM)) {
      triedTargets.clear();
      relay.requests.clear();
      reachability.isIsolated = false;
      respondWith(newFailureThatIsolates(Flux.empty(), error));
      relay.responses.clear();
      relay.responses.add(newEvents(1, 2));
      forward(kind);
      assertEquals(triedTargets.size(), 1);
      assertEquals(
          relay.requests.get(0).excludedTargets(), Set.of(new InstanceId(triedTargets.get(0))));
    }
  }

  @Test
  public void requestIsNotRelayedIfItMayHaveRunAtEachTarget() {
    targets.subList(1, 3).clear();
    respondWith(newFailureThatIsolates(Flux.empty(), newLostException()));
    assertEquals(forwardInVain(RequestKind.IDEMPOTENT).getOutcome(), Outcome.UNKNOWN);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void streamThatFallsSilentAfterAnEventMayGoOnAtItsTarget() {
    targets.subList(1, 3).clear();
    respondWith(
        newFailureThatIsolates(
            newEvents(1, 2),
            new TargetLostException("forward", "peer", Outcome.UNKNOWN, "stalled", null)));
    relay.responses.clear();
    relay.responses.add(newEvents(3, 4));
    assertEquals(
        getText(forward(RequestKind.STREAM)), getText(newEvents(1, 4).collectList().block()));
    assertEquals(relay.requests.get(0).excludedTargets(), Set.of());
  }

  /** Gets the responses of relays whose target may have run the request. */
  @DataProvider
  public Object[][] failedRelays() {
    return new Object[][] {{newResponse(500)}, {newRelayFailure(Outcome.UNKNOWN)}};
  }

  @Test(dataProvider = "failedRelays")
  public void secondRelayReachesNoTargetOfTheFirst(Flux<ResponsePart> response) {
    reachability.isIsolated = true;
    relay.targets.addAll(List.of("one", "two"));
    relay.responses.clear();
    relay.responses.add(response);
    relay.responses.add(newResponse(200));
    assertEquals(getText(forward(RequestKind.IDEMPOTENT)), BODY);
    assertEquals(relay.requests.get(0).excludedTargets(), Set.of());
    assertEquals(relay.requests.get(1).excludedTargets(), Set.of(new InstanceId("one")));
  }

  @Test(dataProvider = "failedRelays")
  public void entryTriesNoTargetThatAnotherEntryTried(Flux<ResponsePart> response) {
    targets.remove(2);
    reachability.isIsolated = true;
    relay.targets.add("one");
    relay.responses.clear();
    relay.responses.add(
        Flux.defer(
            () -> {
              reachability.isIsolated = false;
              return response;
            }));
    assertEquals(getText(forward(RequestKind.IDEMPOTENT)), BODY);
    assertEquals(triedTargets, List.of("two"));
  }

  @Test(dataProvider = "failedRelays")
  public void lookupEndsWhereAnotherEntryDoesNotTellItsTargets(Flux<ResponsePart> response) {
    reachability.isIsolated = true;
    relay.isTelling = false;
    relay.responses.clear();
    relay.responses.add(response);
    relay.responses.add(newResponse(200));
    try {
      List<ResponsePart> parts = forward(RequestKind.IDEMPOTENT);
      assertEquals(((ResponsePart.Head) parts.get(0)).response().status(), 500);
    } catch (ForwardException e) {
      assertEquals(e.getOutcome(), Outcome.UNKNOWN);
    }
    assertEquals(relay.requests.size(), 1);
    assertEquals(triedTargets, List.of());
  }

  @Test
  public void lookupEndsIfAnEntryIsLostBeforeItToldEachTarget() {
    reachability.isIsolated = true;
    relay.isLost = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, Duration.ofSeconds(2), 4);
    RoutedRequest request = ForwardFixtures.newRequest("id", route, System.nanoTime());
    expectThrows(ForwardException.class, () -> forwarder.forward(request).blockLast());
    assertEquals(relay.requests.size(), 1);
    assertEquals(relay.requests.get(0).maxAttempts(), 3);
  }

  @Test
  public void streamGoesOnAtItsTargetIfOnlyItsEntryIsLost() {
    reachability.isIsolated = true;
    relay.isLost = true;
    relay.targets.add("one");
    relay.responses.clear();
    relay.responses.add(newEvents(1, 2).concatWith(newRelayFailure(Outcome.UNKNOWN)));
    relay.responses.add(newEvents(3, 4));
    assertEquals(
        getText(forward(RequestKind.STREAM)), getText(newEvents(1, 4).collectList().block()));
    assertEquals(relay.requests.get(1).excludedTargets(), Set.of());
  }

  @Test
  public void targetThatDidNotRunTheRequestIsNoneOfThoseThatMayRunIt() {
    makeUnreachable();
    RelayedAttempts attempts = new RelayedAttempts();
    forwardRelayedInVain(withAttempts(newRelayed(RequestKind.IDEMPOTENT, 1), attempts));
    assertEquals(triedTargets.size(), 3);
    assertEquals(attempts.getTargets(), List.of());
    assertFalse(attempts.areKnown(1));
  }

  private static RelayedRequest withAttempts(RelayedRequest plain, RelayedAttempts attempts) {
    return new RelayedRequest(
        plain.routed(),
        plain.remaining(),
        plain.lastEventId(),
        plain.maxAttempts(),
        plain.excludedTargets(),
        attempts,
        plain.retryPermit());
  }

  @Test
  public void relayedRequestTellsItsTargets() {
    respondWith(Flux.error(newLostException()));
    RelayedAttempts attempts = new RelayedAttempts();
    forwardRelayedInVain(withAttempts(newRelayed(RequestKind.IDEMPOTENT, 2, "one"), attempts));
    assertEquals(attempts.getTargets().stream().map(InstanceId::value).toList(), triedTargets);
    assertEquals(triedTargets.size(), 2);
  }
}
