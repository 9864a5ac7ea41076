package io.fireflyshed.coordination.limits;

import io.fireflyshed.coordination.queue.FairQueue;
import io.fireflyshed.coordination.queue.FairQueue.Place;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.peer.PeerNotice.ShareDemand;
import io.fireflyshed.state.peer.PeerNotice.ShareGrant;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which requests start now, which are queued and which are refused.
 *
 * <p>A request starts when its account has a token and a free concurrency slot in its limit shares
 * and the process has capacity. Queued requests of different accounts are served by fair queueing.
 * A request that cannot start before its deadline is refused as soon as that is known, with the
 * time after which the caller may retry. Not thread safe. The current time is always a reading of
 * the monotonic clock of this process, in nanoseconds.
 *
 * <pre>{@code
 * AdmissionControl<String> control = new AdmissionControl<>(self, settings, clock.nanoTime());
 * control.setCapacity(100);
 * control.offer("salon", 0, Duration.ofSeconds(2), "request-1", clock.nanoTime());
 * List<AdmissionControl.Verdict<String>> verdicts = control.poll(clock.nanoTime());
 * control.end("salon", Duration.ofMillis(800));
 * }</pre>
 *
 * @param <T> the type of the requests
 */
public final class AdmissionControl<T> {

  /**
   * The decision on a request.
   *
   * @param <T> the type of the request
   * @param request the request, not null
   * @param refusal the refusal, or empty if the request starts now, not null
   */
  public record Verdict<T>(T request, Optional<Refusal> refusal) {}

  /** A request in the queue. */
  private record QueuedRequest<T>(T request, long arrivalNanos, long deadlineNanos) {}

  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  /** The weight of the newest interval in the moving average of completions per second. */
  private static final double COMPLETION_SMOOTHING = 0.3;

  /**
   * A request already in the queue is refused only if its estimated wait exceeds its remaining time
   * by this factor.
   */
  private static final double QUEUED_REFUSAL_FACTOR = 1.5;

  private final PeerId self;
  private final LimitSettings settings;
  private final Map<String, AccountState> accounts = new HashMap<>();
  private final FairQueue<QueuedRequest<T>> queue = new FairQueue<>();
  private final Map<T, Place<QueuedRequest<T>>> queuePlaces = new HashMap<>();
  private final List<Verdict<T>> pendingRefusals = new ArrayList<>();
  private int capacity;
  private int running;
  private long completions;
  private double completionsPerSecond;
  private long lastTickNanos;

  /**
   * Creates the admission control of a process that has just started, with a capacity of 0.
   *
   * @param self the id of this process, not null
   * @param settings the limits and queue settings, not null
   * @param nowNanos the current time
   */
  public AdmissionControl(PeerId self, LimitSettings settings, long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.lastTickNanos = nowNanos;
    settings
        .accounts()
        .forEach(a -> accounts.put(a.account(), new AccountState(a, self, settings, nowNanos)));
  }

  /**
   * Sets how many requests this process may run concurrently.
   *
   * @param capacity the maximum number of concurrent requests, 0 or more
   */
  public void setCapacity(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Queues or refuses a request; {@link #poll} returns the verdict.
   *
   * @param account the client account, not null
   * @param priority the priority within the account; higher priorities start first
   * @param startTimeout how long the caller waits for the request to start, not null
   * @param request the request, not null, not offered before
   * @param nowNanos the current time
   */
  public void offer(String account, int priority, Duration startTimeout, T request, long nowNanos) {
    AccountState state = getOrCreateAccount(account, nowNanos);
    state.recordArrival();
    Duration maxWait =
        startTimeout.compareTo(settings.maxWait()) < 0 ? startTimeout : settings.maxWait();
    int position = queue.getAhead(account, priority) + 1;
    Optional<Refusal> refusal = newRefusalIfLate(state, position, maxWait.toNanos(), 1, nowNanos);
    if (refusal.isEmpty() && queue.size() >= settings.maxQueued()) {
      refusal = evictFromLongestQueue(state, nowNanos);
    }
    if (refusal.isPresent()) {
      pendingRefusals.add(new Verdict<>(request, refusal));
      return;
    }
    QueuedRequest<T> queued = new QueuedRequest<>(request, nowNanos, nowNanos + maxWait.toNanos());
    queuePlaces.put(request, queue.add(account, state.getLimit().weight(), priority, queued));
  }

  /**
   * Takes the requests that may start now from the queue and returns the verdicts since the last
   * call.
   *
   * @param nowNanos the current time
   * @return the verdicts in the order in which they were reached, never null
   */
  public List<Verdict<T>> poll(long nowNanos) {
    List<Verdict<T>> verdicts = new ArrayList<>(pendingRefusals);
    pendingRefusals.clear();
    while (running < capacity) {
      Optional<Place<QueuedRequest<T>>> next = queue.poll(account -> isEligible(account, nowNanos));
      if (next.isEmpty()) {
        break;
      }
      QueuedRequest<T> queued = next.get().item();
      queuePlaces.remove(queued.request());
      if (queued.deadlineNanos() - nowNanos <= 0) {
        AccountState state = accounts.get(next.get().flow());
        verdicts.add(new Verdict<>(queued.request(), Optional.of(newRefusal(state, 1, nowNanos))));
        continue;
      }
      accounts.get(next.get().flow()).startRequest();
      running++;
      verdicts.add(new Verdict<>(queued.request(), Optional.empty()));
    }
    return verdicts;
  }

  /**
   * Removes a request from the queue.
   *
   * @param request the request, not null
   * @return true if the request was queued
   */
  public boolean cancel(T request) {
    Place<QueuedRequest<T>> place = queuePlaces.remove(request);
    return place != null && queue.remove(place);
  }

  /**
   * Records the end of a request that was started.
   *
   * @param account the client account, not null
   * @param runTime how long the request ran, not null
   */
  public void end(String account, Duration runTime) {
    running--;
    completions++;
    accounts.get(account).endRequest(runTime.toNanos());
  }

  /**
   * Updates the demand estimates, refuses queued requests that cannot start in time and creates the
   * demands to send to peers. To be called at regular intervals.
   *
   * @param peers the peers to borrow shares from, not null
   * @param nowNanos the current time
   * @return the demands to send, never null
   */
  public List<ShareDemand> tick(Collection<PeerId> peers, long nowNanos) {
    double seconds = (nowNanos - lastTickNanos) / NANOS_PER_SECOND;
    if (seconds > 0) {
      completionsPerSecond += COMPLETION_SMOOTHING * (completions / seconds - completionsPerSecond);
      completions = 0;
      lastTickNanos = nowNanos;
    }
    List<ShareDemand> demands = new ArrayList<>();
    for (Map.Entry<String, AccountState> e : accounts.entrySet()) {
      demands.addAll(e.getValue().updateDemand(peers, queue.getSize(e.getKey()), nowNanos));
    }
    queue.getBacklogged().forEach(account -> refuseLateRequests(account, nowNanos));
    accounts.values().removeIf(a -> a.isRemovable() && queue.getSize(a.getLimit().account()) == 0);
    return demands;
  }

  /**
   * Handles a notice from a peer.
   *
   * @param notice the notice, not null; ignored unless it is a share demand or grant addressed to
   *     this process
   * @param nowNanos the current time
   * @return the grant to send back, or empty if there is none
   */
  public Optional<ShareGrant> onNotice(PeerNotice notice, long nowNanos) {
    if (notice instanceof ShareDemand demand && demand.receiver().equals(self)) {
      return findAccount(demand.key().account()).flatMap(a -> a.handleDemand(demand, nowNanos));
    }
    if (notice instanceof ShareGrant grant && grant.receiver().equals(self)) {
      findAccount(grant.key().account()).ifPresent(a -> a.handleGrant(grant, nowNanos));
    }
    return Optional.empty();
  }

  /**
   * Gets the number of queued requests.
   *
   * @return the number, 0 or more
   */
  public int getQueuedCount() {
    return queue.size();
  }

  /**
   * Gets the number of running requests.
   *
   * @return the number, 0 or more
   */
  public int getRunningCount() {
    return running;
  }

  private Optional<AccountState> findAccount(String account) {
    return Optional.ofNullable(accounts.get(account));
  }

  private AccountState getOrCreateAccount(String account, long nowNanos) {
    return accounts.computeIfAbsent(
        account, a -> new AccountState(AccountLimit.ofUnlimited(a), self, settings, nowNanos));
  }

  private boolean isEligible(String account, long nowNanos) {
    AccountState state = accounts.get(account);
    return state.isSlotAvailable(nowNanos) && state.refillAndCheckBucket(nowNanos);
  }

  /** Returns a refusal if the estimated wait exceeds the remaining time by a factor. */
  private Optional<Refusal> newRefusalIfLate(
      AccountState state, int position, long remainingNanos, double factor, long nowNanos) {
    double remainingSeconds = remainingNanos / NANOS_PER_SECOND;
    double waitSeconds =
        Math.max(
            state.estimateWaitSeconds(position, nowNanos),
            estimateCapacityWaitSeconds(state, position));
    boolean isLate = remainingSeconds <= 0 || waitSeconds > remainingSeconds * factor;
    return isLate ? Optional.of(newRefusal(state, position, nowNanos)) : Optional.empty();
  }

  private Refusal newRefusal(AccountState state, int position, long nowNanos) {
    double limitWaitSeconds = state.estimateWaitSeconds(position, nowNanos);
    double capacityWaitSeconds = estimateCapacityWaitSeconds(state, position);
    return limitWaitSeconds > capacityWaitSeconds
        ? new Refusal(Refusal.Reason.LIMITED, toRetryAfter(limitWaitSeconds))
        : new Refusal(Refusal.Reason.OVERLOADED, toRetryAfter(capacityWaitSeconds));
  }

  /** Estimates the seconds until capacity allows a number of requests of an account to start. */
  private double estimateCapacityWaitSeconds(AccountState state, int position) {
    if (capacity == 0) {
      return Double.POSITIVE_INFINITY;
    }
    if (running < capacity && queue.size() + 1 <= capacity - running || completionsPerSecond == 0) {
      return 0;
    }
    AccountLimit limit = state.getLimit();
    return position / (completionsPerSecond * queue.getPart(limit.account(), limit.weight()));
  }

  /**
   * Evicts the last request of the account whose queue is longest relative to its weight. If the
   * queue of the new request would be at least as long, returns a refusal of the new request
   * instead.
   */
  private Optional<Refusal> evictFromLongestQueue(AccountState state, long nowNanos) {
    Place<QueuedRequest<T>> candidate = queue.findLastOfLongest().orElseThrow();
    Refusal refusal =
        new Refusal(
            Refusal.Reason.QUEUE_FULL,
            toRetryAfter(estimateCapacityWaitSeconds(state, queue.getSize(candidate.flow()))));
    double ownWeightedLength =
        (queue.getSize(state.getLimit().account()) + 1) / state.getLimit().weight();
    AccountState longest = accounts.get(candidate.flow());
    if (ownWeightedLength >= queue.getSize(candidate.flow()) / longest.getLimit().weight()) {
      return Optional.of(refusal);
    }
    queue.remove(candidate);
    queuePlaces.remove(candidate.item().request());
    pendingRefusals.add(new Verdict<>(candidate.item().request(), Optional.of(refusal)));
    return Optional.empty();
  }

  private void refuseLateRequests(String account, long nowNanos) {
    AccountState state = accounts.get(account);
    int ahead = 0;
    for (Place<QueuedRequest<T>> place : queue.getPlaces(account)) {
      long remainingNanos = place.item().deadlineNanos() - nowNanos;
      Optional<Refusal> refusal =
          newRefusalIfLate(state, ahead + 1, remainingNanos, QUEUED_REFUSAL_FACTOR, nowNanos);
      if (refusal.isPresent()) {
        queue.remove(place);
        queuePlaces.remove(place.item().request());
        pendingRefusals.add(new Verdict<>(place.item().request(), refusal));
      } else {
        ahead++;
      }
    }
  }

  private static Duration toRetryAfter(double seconds) {
    double bounded =
        Math.min(Math.max(seconds, MIN_RETRY_AFTER.toSeconds()), MAX_RETRY_AFTER.toSeconds());
    return Duration.ofSeconds((long) Math.ceil(bounded));
  }
}
