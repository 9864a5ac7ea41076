package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.target.Target;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests {@link HealthCheckValidator} in virtual time. */
public class HealthCheckValidatorTest {

  private static final Duration MAX_WAIT = Duration.ofMillis(40);
  private static final Target TARGET = ForwardFixtures.newTarget("one");
  private static final Target OTHER = ForwardFixtures.newTarget("two");

  private final List<Sinks.Empty<Void>> checks = new ArrayList<>();
  private final List<String> results = new ArrayList<>();
  private VirtualTimeScheduler scheduler;
  private TargetPlacer placer;
  private HealthCheckValidator validator;
  private boolean isAvailable;

  /** Creates a validator that was told of no target. */
  @BeforeMethod
  public void setUp() {
    scheduler = VirtualTimeScheduler.getOrSet();
    checks.clear();
    results.clear();
    isAvailable = true;
    placer =
        new TargetPlacer(
            PlacementSettings.ofDefaults(),
            ForwardFixtures.ZONE,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            ForwardFixtures.newSchedule());
    validator =
        new HealthCheckValidator(
            new FakeHealthCheck(),
            target -> Mono.empty(),
            placer,
            Reachability.always(),
            () -> scheduler.now(TimeUnit.NANOSECONDS),
            new SimpleMeterRegistry());
  }

  /** Ends virtual time. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    VirtualTimeScheduler.reset();
  }

  /** Hands each check to the test. */
  private final class FakeHealthCheck implements HealthCheck {
    @Override
    public boolean isAvailable(Target target) {
      return isAvailable;
    }

    @Override
    public Mono<Void> check(Target target) {
      checks.add(Sinks.empty());
      return checks.get(checks.size() - 1).asMono();
    }
  }

  private void validate() {
    validator
        .validate(TARGET, MAX_WAIT)
        .subscribe(
            done -> {},
            e -> results.add(e instanceof TargetSilentException ? "silent" : "failed"),
            () -> results.add("valid"));
  }

  private void advance(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  private boolean isPlaceable() {
    return placer.isPlaceable(List.of(TARGET), false, scheduler.now(TimeUnit.NANOSECONDS));
  }

  @Test
  public void targetIsValidOnceItAnswered() {
    validate();
    assertEquals(results, List.of());
    checks.get(0).tryEmitEmpty();
    assertEquals(results, List.of("valid"));
    assertTrue(isPlaceable());
  }

  @Test
  public void requestsShareTheCheckThatIsUnderWay() {
    validate();
    validate();
    assertEquals(checks.size(), 1);
    checks.get(0).tryEmitEmpty();
    assertEquals(results, List.of("valid", "valid"));
  }

  @Test
  public void silentTargetIsLeftOutUntilItGoesOn() {
    validate();
    advance(50);
    assertEquals(results, List.of("silent"));
    assertFalse(isPlaceable());
    checks.get(0).tryEmitEmpty();
    assertTrue(isPlaceable());
  }

  @Test
  public void requestAfterAnUnansweredCheckDoesNotWait() {
    validate();
    advance(50);
    validate();
    assertEquals(results, List.of("silent", "silent"));
  }

  @Test
  public void responseOfTheTargetEndsItsSilence() {
    validate();
    advance(50);
    validator.onSignOfLife(TARGET.id(), LifeSign.RESPONSE);
    assertTrue(isPlaceable());
    validate();
    assertEquals(results, List.of("silent", "valid"));
  }

  @Test
  public void oldSignOfLifeNeedsACheck() {
    validator.onSignOfLife(TARGET.id(), LifeSign.RESPONSE);
    advance(10);
    validate();
    assertEquals(results, List.of());
    assertEquals(checks.size(), 1);
  }

  @Test
  public void targetWithoutHealthCheckIsValid() {
    isAvailable = false;
    validate();
    assertEquals(results, List.of("valid"));
  }

  @Test
  public void requestFindsOutForItselfWhyACheckFailed() {
    validate();
    checks.get(0).tryEmitError(new IllegalStateException("connection reset"));
    assertEquals(results, List.of("valid"));
  }

  @Test
  public void targetThatCanNotBeConnectedIsLeftOut() {
    validate();
    checks
        .get(0)
        .tryEmitError(new TargetUnreachableException("check", "one", "no connection", null));
    assertFalse(isPlaceable());
  }

  private boolean isTried() {
    return validator.takeTrial(List.of(TARGET)).isPresent();
  }

  @Test
  public void targetThatIsUsedInTurnsIsNotTried() {
    validate();
    advance(3100);
    validate();
    isAvailable = false;
    assertFalse(isTried());
    isAvailable = true;
    assertTrue(isTried());
  }

  @Test
  public void targetThatIsSilentForLongIsTriedNowAndThen() {
    validate();
    advance(2900);
    validate();
    assertFalse(isTried());
    advance(200);
    assertTrue(isTried());
    assertFalse(isTried());
    advance(4100);
    assertTrue(isTried());
  }

  @Test
  public void targetIsAskedAgainAfterACheckWithoutAnAnswer() {
    validate();
    advance(4000);
    validate();
    checks.get(0).tryEmitError(new IllegalStateException("timeout"));
    assertEquals(checks.size(), 2);
    assertFalse(isPlaceable());
    checks.get(1).tryEmitEmpty();
    assertTrue(isPlaceable());
  }

  @Test
  public void targetThatRefusesConnectionsAfterALongSilenceIsNotAskedAgainAtOnce() {
    validate();
    advance(4000);
    checks.get(0).tryEmitError(new IllegalStateException("timeout"));
    checks
        .get(1)
        .tryEmitError(new TargetUnreachableException("check", "one", "connection refused", null));
    assertEquals(checks.size(), 2);
    assertFalse(isPlaceable());
  }

  @Test
  public void targetThatServesWithoutAnsweringChecksIsNotAskedUntilItAnswersOne() {
    validate();
    advance(3100);
    validate();
    assertTrue(isTried());
    validate();
    validator.onSignOfLife(TARGET.id(), LifeSign.RESPONSE);
    advance(1000);
    validate();
    assertEquals(results, List.of("silent", "silent", "valid", "valid"));
    checks.get(0).tryEmitEmpty();
    advance(30);
    validate();
    advance(50);
    assertEquals(results.get(4), "silent");
  }

  @Test
  public void eachSignOfLifeEndsFewWaitsInTheirOrder() {
    validate();
    advance(50);
    List<Integer> released = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int number = i;
      validator
          .awaitSign(List.of(TARGET, OTHER))
          .subscribe(done -> {}, e -> {}, () -> released.add(number));
    }
    checks.get(0).tryEmitEmpty();
    assertEquals(released, List.of(0));
    validator.onSignOfLife(TARGET.id(), LifeSign.PART);
    assertEquals(released, List.of(0));
    validator.onSignOfLife(TARGET.id(), LifeSign.RESPONSE);
    assertEquals(released, List.of(0, 1, 2));
  }

  @Test
  public void waitEndsIfTheListOfTargetsChanges() {
    validate();
    advance(50);
    validator
        .awaitSign(List.of(TARGET))
        .subscribe(done -> {}, e -> {}, () -> results.add("released"));
    validator.onListed(Set.of(TARGET.id(), OTHER.id()));
    assertEquals(results, List.of("silent", "released"));
  }

  @Test
  public void waitEndsAtOnceIfNoTargetIsSilent() {
    validator
        .awaitSign(List.of(TARGET))
        .subscribe(done -> {}, e -> {}, () -> results.add("released"));
    assertEquals(results, List.of("released"));
  }

  @Test
  public void targetIsAskedAgainIfItRespondedWhileACheckIsUnanswered() {
    validate();
    advance(50);
    validator.onSignOfLife(TARGET.id(), LifeSign.RESPONSE);
    advance(30);
    validate();
    assertEquals(results, List.of("silent"));
    checks.get(checks.size() - 1).tryEmitEmpty();
    assertEquals(results, List.of("silent", "valid"));
  }

  @Test
  public void oldSignOfLifeDuringACheckNeedsAnotherAnswer() {
    validate();
    advance(5);
    validator.onSignOfLife(TARGET.id(), LifeSign.RESPONSE);
    assertEquals(results, List.of("valid"));
    advance(30);
    validate();
    assertEquals(results, List.of("valid"));
  }

  @Test
  public void waitsThatBeginAgainWhenTheListChangesDoNotEndAtOnce() {
    validate();
    advance(50);
    int[] waits = new int[1];
    for (int i = 0; i < 2; i++) {
      Mono.defer(
              () -> {
                waits[0]++;
                return validator.awaitSign(List.of(TARGET));
              })
          .repeat(() -> waits[0] < 1000)
          .subscribe();
    }
    validator.onListed(Set.of(TARGET.id()));
    assertTrue(waits[0] <= 4, waits[0] + " waits");
  }

  @Test(timeOut = 10_000)
  public void answerDuringTheTimeoutOfARequestEndsTheSilence() throws InterruptedException {
    validate();
    Thread request =
        new Thread(() -> validator.validate(TARGET, Duration.ZERO).subscribe(done -> {}, e -> {}));
    synchronized (placer) {
      request.start();
      while (request.getState() != Thread.State.BLOCKED) {
        Thread.onSpinWait();
      }
      checks.get(0).tryEmitEmpty();
    }
    request.join();
    assertTrue(isPlaceable());
  }
}
