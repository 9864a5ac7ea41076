package io.fireflyshed.coordination.limits;

import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice.ShareDemand;
import io.fireflyshed.state.peer.PeerNotice.ShareGrant;
import io.fireflyshed.state.peer.ShareKey;
import io.fireflyshed.state.peer.ShareKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Holds the limit shares and usage statistics of one client account in this process. Not thread
 * safe.
 */
final class AccountState {

  /** The weight of the newest interval in the moving average of arrivals per second. */
  private static final double ARRIVAL_SMOOTHING = 0.05;

  /** The time within which the requested rate share should drain the queue. */
  private static final double QUEUE_DRAIN_SECONDS = 4;

  /** The weight of the newest request in the moving average of run times. */
  private static final double RUN_TIME_SMOOTHING = 0.1;

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final AccountLimit limit;
  private final Optional<ShareLedger> rateShare;
  private final Optional<ShareLedger> concurrencyShare;
  private final TokenBucket bucket;
  private int running;
  private long arrivals;
  private double arrivalsPerSecond;
  private long lastUpdateNanos;
  private double meanRunSeconds = 1;

  AccountState(AccountLimit limit, PeerId self, LimitSettings settings, long nowNanos) {
    this.limit = limit;
    rateShare =
        newShare(ShareKind.RATE, limit.requestsPerSecond(), self, settings.rateTerms(), nowNanos);
    concurrencyShare =
        newShare(
            ShareKind.CONCURRENCY,
            limit.maxConcurrent(),
            self,
            settings.concurrencyTerms(),
            nowNanos);
    bucket = new TokenBucket(settings.burst(), nowNanos);
    lastUpdateNanos = nowNanos;
  }

  private Optional<ShareLedger> newShare(
      ShareKind kind, double total, PeerId self, LoanTerms terms, long nowNanos) {
    if (total <= 0) {
      return Optional.empty();
    }
    ShareKey key = new ShareKey(limit.account(), kind);
    return Optional.of(new ShareLedger(self, key, total, terms, nowNanos));
  }

  AccountLimit getLimit() {
    return limit;
  }

  int getRunningCount() {
    return running;
  }

  /** Tests whether the account has neither limits nor running requests, so it can be removed. */
  boolean isRemovable() {
    return rateShare.isEmpty() && concurrencyShare.isEmpty() && running == 0;
  }

  void recordArrival() {
    arrivals++;
  }

  /**
   * Refills the token bucket at the current rate share.
   *
   * @return true if a token is available or the account has no rate limit
   */
  boolean refillAndCheckBucket(long nowNanos) {
    if (rateShare.isEmpty()) {
      return true;
    }
    bucket.setRate(rateShare.get().getUsable(nowNanos), nowNanos);
    return bucket.isTokenAvailable();
  }

  boolean isSlotAvailable(long nowNanos) {
    return concurrencyShare.isEmpty() || running + 1 <= concurrencyShare.get().getUsable(nowNanos);
  }

  /** Acquires a token and a concurrency slot, which must both be available. */
  void startRequest() {
    if (rateShare.isPresent()) {
      bucket.tryAcquire();
    }
    running++;
    concurrencyShare.ifPresent(share -> share.setInUse(running));
  }

  /** Releases the concurrency slot of a request and records how long the request ran. */
  void endRequest(long runNanos) {
    running--;
    concurrencyShare.ifPresent(share -> share.setInUse(running));
    meanRunSeconds += RUN_TIME_SMOOTHING * (runNanos / NANOS_PER_SECOND - meanRunSeconds);
  }

  /** Estimates the seconds until the limits allow a number of further requests to start. */
  double estimateWaitSeconds(int requests, long nowNanos) {
    double seconds = 0;
    if (rateShare.isPresent()) {
      bucket.setRate(rateShare.get().getUsable(nowNanos), nowNanos);
      seconds = bucket.estimateWaitSeconds(requests, rateShare.get().estimateUsable(nowNanos));
    }
    if (concurrencyShare.isPresent()) {
      double expected = concurrencyShare.get().estimateUsable(nowNanos);
      double excess = running + requests - expected;
      seconds = excess <= 0 ? seconds : Math.max(seconds, meanRunSeconds * excess / expected);
    }
    return seconds;
  }

  /** Updates the demand estimates and creates the share demands to send to peers. */
  List<ShareDemand> updateDemand(Collection<PeerId> peers, int queuedCount, long nowNanos) {
    double seconds = (nowNanos - lastUpdateNanos) / NANOS_PER_SECOND;
    if (seconds > 0) {
      arrivalsPerSecond += ARRIVAL_SMOOTHING * (arrivals / seconds - arrivalsPerSecond);
      arrivals = 0;
      lastUpdateNanos = nowNanos;
    }
    refillAndCheckBucket(nowNanos);
    List<ShareDemand> demands = new ArrayList<>();
    rateShare.ifPresent(
        share -> {
          share.setDemand(arrivalsPerSecond + queuedCount / QUEUE_DRAIN_SECONDS);
          demands.addAll(share.newDemands(peers, nowNanos));
        });
    concurrencyShare.ifPresent(
        share -> {
          share.setDemand(running + queuedCount);
          demands.addAll(share.newDemands(peers, nowNanos));
        });
    return demands;
  }

  Optional<ShareGrant> handleDemand(ShareDemand notice, long nowNanos) {
    return findShare(notice.key()).flatMap(share -> share.handleDemand(notice, nowNanos));
  }

  void handleGrant(ShareGrant notice, long nowNanos) {
    if (notice.key().kind() == ShareKind.RATE) {
      refillAndCheckBucket(nowNanos);
    }
    findShare(notice.key()).ifPresent(share -> share.handleGrant(notice, nowNanos));
  }

  private Optional<ShareLedger> findShare(ShareKey key) {
    return key.kind() == ShareKind.RATE ? rateShare : concurrencyShare;
  }
}
