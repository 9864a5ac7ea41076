package io.fireflyshed.coordination.admission;

import io.fireflyshed.coordination.retry.RetryAfterSchedule;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Holds what an entry knows of the requests of one rank for a pool. Not thread safe. */
final class RankState {

  /** Limits the accounts that are told apart; further ones share one count. */
  private static final int MAX_ACCOUNTS = 1024;

  private static final String OTHER_ACCOUNTS = "";

  /** The time in which a rising demand is followed. */
  private static final Duration RISE = Duration.ofMillis(300);

  /** The time in which a falling demand is followed; longer, so that thresholds don't swing. */
  private static final Duration FALL = Duration.ofMillis(1500);

  /** The demand below which a rank has no callers. */
  private static final double MIN_RATE = 0.1;

  /** An account with fewer arrivals than this has no callers and doesn't count in the mean. */
  private static final double NEGLIGIBLE_ARRIVALS = 0.05;

  /** The time between two searches for accounts without callers. */
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

  private final AdmissionCounts counts = new AdmissionCounts();
  private final Map<String, AdmissionCounts> accounts = new HashMap<>();
  private double rate;
  private long rateNanos;
  private double credit = 0.5;
  private double threshold;
  private long retryNanos;
  private long sweptNanos;

  /** Follows the rate of requests of all entries, as it was told last. */
  void follow(double toldRate, long nowNanos) {
    Duration time = toldRate > rate ? RISE : FALL;
    double age = Math.max(0, nowNanos - rateNanos);
    double weight = 1 - Math.exp(-age / time.toNanos());
    rate += weight * (toldRate - rate);
    rateNanos = nowNanos;
  }

  double getRate() {
    return rate;
  }

  boolean hasCallers() {
    return rate >= MIN_RATE;
  }

  AdmissionCounts getCounts() {
    return counts;
  }

  AdmissionCounts getAccount(String account, long nowNanos) {
    if (accounts.isEmpty()) {
      sweptNanos = nowNanos;
    } else if (nowNanos - sweptNanos >= SWEEP_INTERVAL.toNanos()) {
      accounts.values().forEach(a -> a.decay(nowNanos));
      accounts.values().removeIf(a -> a.getArrived() < NEGLIGIBLE_ARRIVALS);
      sweptNanos = nowNanos;
    }
    String key =
        accounts.size() < MAX_ACCOUNTS || accounts.containsKey(account) ? account : OTHER_ACCOUNTS;
    return accounts.computeIfAbsent(key, a -> new AdmissionCounts());
  }

  /** Returns the mean of the accounts' admitted requests. */
  double getMeanAdmitted() {
    return accounts.isEmpty() ? 0 : counts.getAdmitted() / accounts.size();
  }

  /** Tests whether the next request is among a fraction of them, spread evenly. */
  boolean take(double fraction) {
    credit = Math.min(1, credit) + fraction;
    if (credit < 1) {
      return false;
    }
    credit--;
    return true;
  }

  /**
   * Returns the wait of the next refused caller. Callers come back at the rate at which requests of
   * this rank were admitted lately, so that those of more urgent ranks are told to come sooner.
   */
  Duration nextRetry(long nowNanos) {
    long earliest = nowNanos + RetryAfterSchedule.MIN_WAIT.toNanos();
    long latest = nowNanos + RetryAfterSchedule.MAX_WAIT.toNanos();
    long previous = retryNanos - earliest > 0 ? retryNanos : earliest;
    retryNanos = Math.min(previous + counts.getMeanGapNanos(), latest);
    return Duration.ofNanos(retryNanos - nowNanos);
  }

  void setThreshold(double requests) {
    threshold = requests;
  }

  double getThreshold() {
    return threshold;
  }
}
