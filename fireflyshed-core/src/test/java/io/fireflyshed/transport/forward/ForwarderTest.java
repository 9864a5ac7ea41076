package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryBudget;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;

/** Tests what {@link Forwarder} learns from one attempt for the next. */
public class ForwarderTest {

  private static final String BODY = "done";

  private final Map<String, AttemptException> errors = new HashMap<>();
  private final List<String> called = new ArrayList<>();
  private Forwarder forwarder;
  private boolean isRead;

  /** Creates a forwarder before three targets of its own zone, without any budget for repeats. */
  @BeforeMethod
  public void setUp() {
    errors.clear();
    called.clear();
    isRead = true;
    forwarder = newForwarder(0);
  }

  private Forwarder newForwarder(int budget) {
    List<Target> targets =
        List.of(
            ForwardFixtures.newTarget("one"),
            ForwardFixtures.newTarget("two"),
            ForwardFixtures.newTarget("three"));
    PlacementSettings placement = PlacementSettings.ofDefaults();
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> isRead),
        new TargetPlacer(
            placement, ForwardFixtures.ZONE, RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
        new StallDetector(placement),
        this::call,
        new RetryBudget(0, 10, budget),
        MonotonicClock.system(),
        stalled -> {});
  }

  private Flux<AnswerPart> call(
      Target target, ForwardRequest forward, Duration left, OptionalLong lastEventId) {
    called.add(target.id().value());
    AttemptException error = errors.get(target.id().value());
    if (error != null) {
      return Flux.error(error);
    }
    return Flux.just(
        ForwardFixtures.newHead(forward.request().id(), 200), ForwardFixtures.newPiece(BODY));
  }

  /** Forwards a one-time request and gets the parts of its answer. */
  private List<AnswerPart> forward() {
    Route route = ForwardFixtures.newRoute(RequestKind.ONE_TIME, false, Duration.ofSeconds(1));
    return forwarder
        .forward(ForwardFixtures.newForward("id", route, System.nanoTime()))
        .collectList()
        .block();
  }

  private void failWith(AttemptException error, String... targets) {
    for (String target : targets) {
      errors.put(target, error);
    }
  }

  private static AttemptException newUnreachable() {
    return new TargetUnreachableException("forward", "peer", "connection refused", null);
  }

  @Test
  public void targetThatCannotBeReachedCostsNoBudget() {
    failWith(newUnreachable(), "one", "two");
    assertEquals(forward().size(), 2);
  }

  @Test
  public void targetThatCannotBeReachedIsTriedOnceOnly() {
    failWith(newUnreachable(), "one", "two");
    for (int i = 0; i < 10; i++) {
      forward();
    }
    assertEquals(Collections.frequency(called, "one"), 1);
    assertEquals(Collections.frequency(called, "two"), 1);
  }

  @Test
  public void requestIsRefusedAtOnceIfNoTargetCanBeReached() {
    failWith(newUnreachable(), "one", "two", "three");
    expectThrows(ForwardException.class, this::forward);
    called.clear();
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(called, List.of());
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertTrue(error.getRetryAfter().compareTo(Duration.ofSeconds(1)) <= 0);
  }

  @Test
  public void callerComesBackSoonWhileTheTargetsAreNotKnownYet() {
    isRead = false;
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertEquals(error.getRetryAfter(), Duration.ofMillis(200));
  }

  @Test
  public void rejectionsDrawOnTheBudget() {
    AttemptException rejected =
        new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null);
    failWith(rejected, "one", "two", "three");
    expectThrows(ForwardException.class, this::forward);
    assertEquals(called.size(), 1);
    called.clear();
    forwarder = newForwarder(10);
    expectThrows(ForwardException.class, this::forward);
    assertEquals(called.size(), 3);
  }

  @Test
  public void oneTimeRequestIsNotRepeatedIfItMayHaveRun() {
    forwarder = newForwarder(10);
    AttemptException lost = new AttemptException("forward", "peer", Outcome.UNKNOWN, "lost", null);
    failWith(lost, "one", "two", "three");
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(called.size(), 1);
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
  }
}
