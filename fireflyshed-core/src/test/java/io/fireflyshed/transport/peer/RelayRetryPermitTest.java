package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayedRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;

/** Tests that requests are offered again only within the retry budget of their entry. */
public class RelayRetryPermitTest extends RelayTestBase {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Relays a request among entries that don't run it; returns the entries that got it. */
  private int countEntriesThatGetTheRequest(int permits) {
    RelayEntry entry = newEntry("e1");
    List<RelayEntry> others = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      RelayEntry failing = newEntry("failing-" + i);
      failing.forwarder =
          request ->
              Flux.error(
                  new ForwardException(
                      "forward", "t1", "full", Outcome.NOT_RUN, Duration.ofSeconds(1), false));
      entry.addPeer(failing);
      others.add(failing);
    }
    AtomicInteger left = new AtomicInteger(permits);
    RelayedRequest request = RelayFixtures.newRequest("r1", new byte[0], TIMEOUT);
    RelayedRequest limited =
        new RelayedRequest(
            request.routed(),
            request.remaining(),
            request.lastEventId(),
            request.maxAttempts(),
            request.excludedTargets(),
            request.listener(),
            () -> left.getAndDecrement() > 0);
    ForwardException error =
        expectThrows(
            ForwardException.class, () -> entry.relay.relay(limited).collectList().block(TIMEOUT));
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    return others.stream().mapToInt(e -> e.requests.size()).sum();
  }

  @Test
  public void requestThatAnEntryDidNotRunIsOfferedAgainOnlyIfTheBudgetPermits() {
    assertEquals(countEntriesThatGetTheRequest(0), 1);
  }

  @Test
  public void eachFurtherEntryIsCharged() {
    assertEquals(countEntriesThatGetTheRequest(1), 2);
  }
}
