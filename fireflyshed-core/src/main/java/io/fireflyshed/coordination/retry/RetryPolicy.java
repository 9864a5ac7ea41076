package io.fireflyshed.coordination.retry;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.retry.RetryDecision.StopReason;
import io.fireflyshed.state.clock.MonotonicClock;
import java.time.Duration;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether and when a failed attempt is retried. Thread safe.
 *
 * <p>After an attempt that may have run, only an idempotent request is retried. The wait before a
 * retry is drawn uniformly from zero to a bound that doubles with each attempt ("full jitter" of M.
 * Brooker, "Exponential Backoff and Jitter", 2015).
 *
 * <pre>{@code
 * RetryPolicy policy = RetryPolicy.ofDefaults(MonotonicClock.system(), random);
 * RetryDecision next = policy.decide(Outcome.UNKNOWN, false, 1, Duration.ofSeconds(5));
 * // Stop(NOT_REPEATABLE)
 * }</pre>
 */
public final class RetryPolicy {

  private static final double BUDGET_RATIO = 0.2;
  private static final Duration BUDGET_WINDOW = Duration.ofSeconds(10);

  /** The retries that a process may make in a window even if it has few requests. */
  private static final double BUDGET_ALLOWANCE = 100;

  private static final int MAX_DOUBLINGS = 20;

  private final RetrySettings settings;
  private final RetryBudget budget;
  private final MonotonicClock clock;
  private final UniformRandomProvider random;

  /**
   * Creates a policy.
   *
   * @param settings the limits, not null
   * @param budget the retry budget shared by all requests of this process, not null
   * @param clock the monotonic clock of this process, not null
   * @param random the source of the random waits; used by this policy only, not null
   */
  public RetryPolicy(
      RetrySettings settings,
      RetryBudget budget,
      MonotonicClock clock,
      UniformRandomProvider random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.budget = Objects.requireNonNull(budget, "budget");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Creates a policy with the default settings and a budget of its own.
   *
   * @param clock the monotonic clock of this process, not null
   * @param random the source of the random waits; used by this policy only, not null
   * @return the policy, never null
   */
  public static RetryPolicy ofDefaults(MonotonicClock clock, UniformRandomProvider random) {
    RetryBudget budget = new RetryBudget(BUDGET_RATIO, BUDGET_WINDOW, () -> BUDGET_ALLOWANCE);
    return new RetryPolicy(RetrySettings.ofDefaults(), budget, clock, random);
  }

  /** Records the start of a request; not called for a retry. */
  public void onRequest() {
    budget.onRequest(clock.nanoTime());
  }

  /**
   * Decides what follows a failed attempt. A retry takes a token from the budget.
   *
   * @param outcome what is known of the attempt, not null
   * @param isIdempotent whether the request may run more than once
   * @param attempts the number of attempts so far, positive
   * @param remaining the time until the deadline of the request, not null
   * @return the decision, never null
   */
  public RetryDecision decide(
      Outcome outcome, boolean isIdempotent, int attempts, Duration remaining) {
    Objects.requireNonNull(outcome, "outcome");
    if (outcome != Outcome.NOT_RUN && !isIdempotent) {
      return new RetryDecision.Stop(StopReason.NOT_REPEATABLE);
    }
    if (attempts >= settings.maxAttempts()) {
      return new RetryDecision.Stop(StopReason.TOO_MANY_ATTEMPTS);
    }
    Duration delay = drawDelay(attempts);
    if (delay.compareTo(remaining) >= 0) {
      return new RetryDecision.Stop(StopReason.NO_TIME);
    }
    return budget.tryRetry(clock.nanoTime())
        ? new RetryDecision.Retry(delay)
        : new RetryDecision.Stop(StopReason.NO_BUDGET);
  }

  private synchronized Duration drawDelay(int attempts) {
    int doublings = Math.min(attempts - 1, MAX_DOUBLINGS);
    long bound =
        Math.min(settings.maxDelay().toNanos(), settings.baseDelay().toNanos() << doublings);
    return Duration.ofNanos(bound == 0 ? 0 : random.nextLong(bound + 1));
  }
}
