package io.fireflyshed.transport.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.limits.AccountLimit;
import io.fireflyshed.coordination.limits.LimitSettings;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.transport.entry.Admission.Permit;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Tests {@link QueueingAdmission}. */
public class QueueingAdmissionTest {

  private static final AdmissionRequest REQUEST = newRequest("salon");

  private ManualClock clock;
  private QueueingAdmission admission;

  private static AdmissionRequest newRequest(String account) {
    return new AdmissionRequest(account, new ServiceName("cards"), 0, 16, Optional.empty());
  }

  /** Creates an admission with a capacity of one request. */
  @BeforeMethod
  public void create() {
    clock = new ManualClock();
    LimitSettings settings =
        LimitSettings.of(
            List.of(new AccountLimit("limited", 1, 1, 0)),
            1,
            Duration.ofSeconds(3),
            Duration.ofMinutes(1),
            Duration.ofSeconds(2),
            10);
    admission = new QueueingAdmission(settings, () -> 1, new LonePeerBus(new PeerId("p0")), clock);
  }

  @Test
  public void admitsTheNextRequestWhenAPermitIsReleased() {
    Permit first = admission.admit(REQUEST).block();
    CompletableFuture<Permit> second = admission.admit(REQUEST).toFuture();
    assertFalse(second.isDone());
    first.release(1);
    first.release(1);
    assertTrue(second.isDone());
    assertFalse(admission.admit(REQUEST).toFuture().isDone());
  }

  @Test
  public void removesACancelledRequestFromTheQueue() {
    Permit first = admission.admit(REQUEST).block();
    Disposable cancelled = admission.admit(REQUEST).subscribe();
    CompletableFuture<Permit> third = admission.admit(REQUEST).toFuture();
    cancelled.dispose();
    first.release(1);
    assertTrue(third.isDone());
  }

  @Test
  public void refusesAsNotRunWithARetryAfterTime() {
    clock.advance(Duration.ofSeconds(10));
    admission.tick();
    for (int i = 0; i < 20; i++) {
      admission.admit(newRequest("limited")).subscribe(permit -> {}, error -> {});
    }
    ProblemException error =
        Assert.expectThrows(
            ProblemException.class, () -> admission.admit(newRequest("limited")).block());
    Problem problem = error.getProblem();
    assertEquals(problem.status(), 429);
    assertEquals(problem.outcome(), Outcome.NOT_RUN);
    assertTrue(problem.retryAfterSeconds().isPresent());
  }
}
