package io.fireflyshed.coordination.poison;

import java.time.Duration;

/**
 * A refusal of a fingerprint and the trials that were made since.
 *
 * @param sinceNanos the reading of the monotonic clock when it began
 * @param trials the number of trials, 0 or more
 * @param trialNanos the reading of the monotonic clock at the last trial, of no meaning without one
 */
public record Refusal(long sinceNanos, int trials, long trialNanos) {

  /**
   * Creates a refusal without trials.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the refusal, never null
   */
  static Refusal begin(long nowNanos) {
    return new Refusal(nowNanos, 0, nowNanos);
  }

  /** Joins this with what another entry knows of the same refusal. */
  Refusal join(Refusal other) {
    Refusal later = other.trials > trials ? other : this;
    return new Refusal(Math.min(sinceNanos, other.sinceNanos), later.trials, later.trialNanos);
  }

  /** Returns the refusal after another trial. */
  Refusal addTrial(long nowNanos) {
    return new Refusal(sinceNanos, trials + 1, nowNanos);
  }

  Duration getAge(long nowNanos) {
    return Duration.ofNanos(nowNanos - sinceNanos);
  }

  /** Tests whether a trial may be made now. */
  boolean isTrialDue(TrialSettings settings, long nowNanos) {
    return trials < settings.maxTrials() && getTimeToTrial(settings, nowNanos).isZero();
  }

  /** Returns the time until the next trial, as if there was one, or zero if it may be made now. */
  private Duration getTimeToTrial(TrialSettings settings, long nowNanos) {
    Duration delay = trials == 0 ? settings.firstDelay() : settings.interval();
    Duration passed = Duration.ofNanos(nowNanos - (trials == 0 ? sinceNanos : trialNanos));
    return delay.compareTo(passed) > 0 ? delay.minus(passed) : Duration.ZERO;
  }

  /**
   * Returns the time after which a request may be served: that of the next trial, or of the result
   * of one that is under way or due, or of the end of the refusal.
   */
  Duration getRetryAfter(TrialSettings settings, Duration expiry, long nowNanos) {
    Duration untilEnd = expiry.minus(getAge(nowNanos));
    boolean isUnderWay = trials > 0 && nowNanos - trialNanos < settings.resultTime().toNanos();
    if (!isUnderWay && trials >= settings.maxTrials()) {
      return untilEnd;
    }
    Duration untilTrial = isUnderWay ? Duration.ZERO : getTimeToTrial(settings, nowNanos);
    Duration wait =
        untilTrial.compareTo(settings.resultTime()) < 0 ? settings.resultTime() : untilTrial;
    return wait.compareTo(untilEnd) < 0 ? wait : untilEnd;
  }
}
