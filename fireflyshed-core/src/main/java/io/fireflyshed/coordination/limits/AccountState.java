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

/** Keeps the shares of one client account in this process. Not thread safe. */
final class AccountState {

  /** The weight of the last interval in the average of arrivals. */
  private static final double ARRIVAL_SMOOTHING = 0.05;

  /** The time in which a process wants to serve what waits. */
  private static final double DRAIN_SECONDS = 4;

  /** The weight of the last request in the average of run times. */
  private static final double HOLD_SMOOTHING = 0.1;

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final AccountLimit limit;
  private final Optional<ShareLedger> rates;
  private final Optional<ShareLedger> slots;
  private final TokenBucket bucket;
  private int running;
  private long arrivals;
  private double arrivalsPerSecond;
  private long tickNanos;
  private double meanHoldSeconds = 1;

  AccountState(AccountLimit limit, PeerId self, LimitSettings settings, long nowNanos) {
    this.limit = limit;
    rates =
        newLedger(ShareKind.RATE, limit.requestsPerSecond(), self, settings.rateTerms(), nowNanos);
    slots =
        newLedger(
            ShareKind.CONCURRENCY,
            limit.maxConcurrent(),
            self,
            settings.concurrencyTerms(),
            nowNanos);
    bucket = new TokenBucket(settings.burst(), nowNanos);
    tickNanos = nowNanos;
  }

  private Optional<ShareLedger> newLedger(
      ShareKind kind, double size, PeerId self, ShareTerms terms, long nowNanos) {
    if (size <= 0) {
      return Optional.empty();
    }
    ShareKey key = new ShareKey(limit.account(), kind);
    return Optional.of(new ShareLedger(self, key, size, terms, nowNanos));
  }

  AccountLimit getLimit() {
    return limit;
  }

  int getRunning() {
    return running;
  }

  /** Tests whether nothing is lost when an account without limits is forgotten. */
  boolean isForgettable() {
    return rates.isEmpty() && slots.isEmpty() && running == 0;
  }

  void onArrival() {
    arrivals++;
  }

  boolean isRateAvailable(long nowNanos) {
    if (rates.isEmpty()) {
      return true;
    }
    bucket.setRate(rates.get().getUsable(nowNanos), nowNanos);
    return bucket.isAvailable();
  }

  boolean isSlotAvailable(long nowNanos) {
    return slots.isEmpty() || running + 1 <= slots.get().getUsable(nowNanos);
  }

  /** Takes a token and a slot, which must both be available. */
  void start() {
    if (rates.isPresent()) {
      bucket.tryTake();
    }
    running++;
    slots.ifPresent(s -> s.setInUse(running));
  }

  /** Gives the slot back. */
  void end(long heldNanos) {
    running--;
    slots.ifPresent(s -> s.setInUse(running));
    meanHoldSeconds += HOLD_SMOOTHING * (heldNanos / NANOS_PER_SECOND - meanHoldSeconds);
  }

  /** Gets the seconds until the limits let a number of further requests in. */
  double getSecondsUntil(int requests, long nowNanos) {
    double seconds = 0;
    if (rates.isPresent()) {
      bucket.setRate(rates.get().getUsable(nowNanos), nowNanos);
      seconds = bucket.getSecondsUntil(requests, rates.get().getExpected(nowNanos));
    }
    if (slots.isPresent()) {
      double expected = slots.get().getExpected(nowNanos);
      double over = running + requests - expected;
      seconds = over <= 0 ? seconds : Math.max(seconds, meanHoldSeconds * over / expected);
    }
    return seconds;
  }

  /** Measures demand and gets the notices to send to peers. */
  List<ShareDemand> tick(Collection<PeerId> partners, int queued, long nowNanos) {
    double seconds = (nowNanos - tickNanos) / NANOS_PER_SECOND;
    if (seconds > 0) {
      arrivalsPerSecond += ARRIVAL_SMOOTHING * (arrivals / seconds - arrivalsPerSecond);
      arrivals = 0;
      tickNanos = nowNanos;
    }
    isRateAvailable(nowNanos);
    List<ShareDemand> demands = new ArrayList<>();
    rates.ifPresent(
        r -> {
          r.setDemand(arrivalsPerSecond + queued / DRAIN_SECONDS);
          demands.addAll(r.newDemands(partners, nowNanos));
        });
    slots.ifPresent(
        s -> {
          s.setDemand(running + queued);
          demands.addAll(s.newDemands(partners, nowNanos));
        });
    return demands;
  }

  Optional<ShareGrant> onDemand(ShareDemand notice, long nowNanos) {
    return getLedger(notice.key()).flatMap(ledger -> ledger.onDemand(notice, nowNanos));
  }

  void onGrant(ShareGrant notice, long nowNanos) {
    if (notice.key().kind() == ShareKind.RATE) {
      isRateAvailable(nowNanos);
    }
    getLedger(notice.key()).ifPresent(ledger -> ledger.onGrant(notice, nowNanos));
  }

  private Optional<ShareLedger> getLedger(ShareKey key) {
    return key.kind() == ShareKind.RATE ? rates : slots;
  }
}
