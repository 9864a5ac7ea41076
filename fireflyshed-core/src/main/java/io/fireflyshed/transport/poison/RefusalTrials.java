package io.fireflyshed.transport.poison;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashLedger;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.transport.forward.CrashTrial;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Lets single requests run although they are refused, since nothing that is refused can show that
 * the refusal is wrong.
 *
 * <p>An entry claims a trial in the rows of what is refused, under the condition that they have not
 * changed, so that all entries together make one trial at a time and no more than the settings
 * allow. An entry that can't reach the table makes none. A claimed trial that its request can't use
 * goes to the next one at this entry.
 *
 * <p>{@link #request}, {@link #onSuccess} and {@link #onInterrupted} may be called on any thread;
 * all other steps run on the control thread.
 */
final class RefusalTrials {

  /** The longest wait of a request for its claim, a multiple of the usual time of a transaction. */
  private static final Duration MAX_CLAIM_TIME = Duration.ofMillis(400);

  /** The time for which a claimed trial can be used. */
  private static final Duration CLAIM_VALIDITY = Duration.ofSeconds(10);

  /** The time after which a trial counts as one without a result. */
  private static final Duration MAX_RESULT_TIME = Duration.ofSeconds(10);

  /** A trial that was claimed and not used yet. */
  private static final class Claim {
    private final long claimNanos;
    private boolean isLent;

    Claim(long claimNanos) {
      this.claimNanos = claimNanos;
    }
  }

  private final CrashLedger ledger;
  private final Function<Set<CrashFingerprint>, CompletableFuture<Boolean>> claimer;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Map<Set<CrashFingerprint>, Claim> claims = new HashMap<>();
  private final Map<CrashFingerprint, Set<CrashFingerprint>> running = new ConcurrentHashMap<>();
  private final Map<TrialOutcome, AtomicLong> outcomes = new EnumMap<>(TrialOutcome.class);
  private boolean isClaiming;

  /**
   * Creates trials of the refusals in a ledger.
   *
   * @param ledger tells what is refused and when trials are due, not null
   * @param claimer writes that a trial of some fingerprints begins, and tells whether it is this
   *     entry that makes it; called on the control thread, not null
   * @param control the executor of the control thread, not null
   * @param clock the clock of this process, not null
   * @param log the log of trials, not null
   */
  RefusalTrials(
      CrashLedger ledger,
      Function<Set<CrashFingerprint>, CompletableFuture<Boolean>> claimer,
      ScheduledExecutorService control,
      MonotonicClock clock,
      EventLog log) {
    this.ledger = ledger;
    this.claimer = claimer;
    this.control = control;
    this.clock = clock;
    this.log = log;
    for (TrialOutcome outcome : TrialOutcome.values()) {
      outcomes.put(outcome, new AtomicLong());
    }
  }

  long count(TrialOutcome outcome) {
    return outcomes.get(outcome).get();
  }

  /** Requests the permission to send a refused request, which may not be given. */
  Mono<CrashTrial> request(RequestFingerprints request) {
    Set<CrashFingerprint> refused = ledger.findRefused(request, clock.nanoTime());
    if (refused.isEmpty() || !isPossible(refused)) {
      return Mono.just(CrashTrial.none());
    }
    CompletableFuture<CrashTrial> granted = new CompletableFuture<>();
    control.execute(() -> grant(request, refused, granted));
    return Mono.fromFuture(granted)
        .timeout(MAX_CLAIM_TIME)
        .onErrorReturn(CrashTrial.none())
        .publishOn(Schedulers.parallel());
  }

  private boolean isPossible(Set<CrashFingerprint> refused) {
    synchronized (claims) {
      return claims.containsKey(refused) || ledger.areTrialsDue(refused, clock.nanoTime());
    }
  }

  private void grant(
      RequestFingerprints request,
      Set<CrashFingerprint> refused,
      CompletableFuture<CrashTrial> granted) {
    long now = clock.nanoTime();
    Claim claim;
    synchronized (claims) {
      claims.values().removeIf(c -> now - c.claimNanos >= CLAIM_VALIDITY.toNanos());
      claim = claims.get(refused);
    }
    if (claim != null) {
      granted.complete(claim.isLent ? CrashTrial.none() : lend(request, refused, claim));
      return;
    }
    if (isClaiming || !ledger.areTrialsDue(refused, now)) {
      granted.complete(CrashTrial.none());
      return;
    }
    isClaiming = true;
    claimer
        .apply(refused)
        .whenCompleteAsync(
            (isClaimed, error) -> {
              isClaiming = false;
              if (error != null || !isClaimed) {
                granted.complete(CrashTrial.none());
                return;
              }
              Claim claimed = new Claim(clock.nanoTime());
              synchronized (claims) {
                claims.put(refused, claimed);
              }
              granted.complete(lend(request, refused, claimed));
            },
            control);
  }

  private CrashTrial lend(RequestFingerprints request, Set<CrashFingerprint> refused, Claim claim) {
    claim.isLent = true;
    Runnable giveBack =
        () -> {
          claim.isLent = false;
        };
    // A request that ended meanwhile neither uses the trial nor gives it back.
    control.schedule(giveBack, 2 * MAX_CLAIM_TIME.toMillis(), TimeUnit.MILLISECONDS);
    return new CrashTrial(() -> begin(request, refused), () -> control.execute(giveBack));
  }

  private void begin(RequestFingerprints request, Set<CrashFingerprint> refused) {
    synchronized (claims) {
      claims.remove(refused);
    }
    CrashFingerprint id = request.request();
    running.put(id, refused);
    log.warn("trial of refused request", "request", id, "fingerprints", toText(refused));
    control.schedule(
        () -> end(id, TrialOutcome.UNKNOWN), MAX_RESULT_TIME.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static String toText(Set<CrashFingerprint> fingerprints) {
    return fingerprints.stream()
        .map(CrashFingerprint::toString)
        .sorted()
        .collect(Collectors.joining(","));
  }

  private void end(CrashFingerprint request, TrialOutcome outcome) {
    Set<CrashFingerprint> refused = running.remove(request);
    if (refused != null) {
      outcomes.get(outcome).incrementAndGet();
      log.warn(
          "trial ended", "request", request, "outcome", outcome, "fingerprints", toText(refused));
    }
  }

  void onSuccess(RequestFingerprints request) {
    if (!running.isEmpty()) {
      end(request.request(), TrialOutcome.SUCCEEDED);
    }
  }

  void onInterrupted(RequestFingerprints request) {
    if (!running.isEmpty()) {
      end(request.request(), TrialOutcome.CRASHED);
    }
  }
}
