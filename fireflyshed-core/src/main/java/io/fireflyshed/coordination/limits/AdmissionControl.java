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
 * Decides which requests run now, which wait and which are refused.
 *
 * <p>A request runs when its account has a token and a place left in its shares and the process has
 * capacity. Waiting requests are served fairly between accounts. A request that can't start before
 * its deadline is refused as soon as that is known, with the time to come back. Not thread safe;
 * times are readings of the monotonic clock of this process.
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
   * Tells what becomes of a request.
   *
   * @param <T> the type of the request
   * @param request the request, not null
   * @param refusal why it is refused, or empty if it runs now, not null
   */
  public record Verdict<T>(T request, Optional<Refusal> refusal) {}

  /** A request that waits. */
  private record Waiting<T>(T request, long arrivalNanos, long deadlineNanos) {}

  private static final Duration MIN_RETRY = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY = Duration.ofSeconds(60);
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  /** The weight of the last interval in the average of starts. */
  private static final double SMOOTHING = 0.3;

  /**
   * A waiting request is given up only if its expected wait exceeds its deadline by this factor.
   */
  private static final double GIVE_UP_FACTOR = 1.5;

  private final PeerId self;
  private final LimitSettings settings;
  private final Map<String, AccountState> accounts = new HashMap<>();
  private final FairQueue<Waiting<T>> queue = new FairQueue<>();
  private final Map<T, Place<Waiting<T>>> places = new HashMap<>();
  private final List<Verdict<T>> refused = new ArrayList<>();
  private int capacity;
  private int running;
  private long ends;
  private double endsPerSecond;
  private long tickNanos;

  /**
   * Creates the control of a process that has just started.
   *
   * @param self the process, not null
   * @param settings the settings, not null
   * @param nowNanos the reading of the clock
   */
  public AdmissionControl(PeerId self, LimitSettings settings, long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.tickNanos = nowNanos;
    settings
        .accounts()
        .forEach(a -> accounts.put(a.account(), new AccountState(a, self, settings, nowNanos)));
  }

  /**
   * Sets how many requests this process may run at the same time.
   *
   * @param capacity the number, 0 or more
   */
  public void setCapacity(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Takes in a request; the verdict on it comes from {@link #poll}.
   *
   * @param account the client account, not null
   * @param priority the priority within the account, higher is sooner
   * @param patience how long the caller waits for the start, not null
   * @param request the request, not null, not offered before
   * @param nowNanos the reading of the clock
   */
  public void offer(String account, int priority, Duration patience, T request, long nowNanos) {
    AccountState state = getAccount(account, nowNanos);
    state.onArrival();
    Duration wait = patience.compareTo(settings.maxWait()) < 0 ? patience : settings.maxWait();
    int ahead = queue.getAhead(account, priority) + 1;
    Optional<Refusal> refusal = checkWait(state, ahead, wait.toNanos(), 1, nowNanos);
    if (refusal.isEmpty() && queue.size() >= settings.maxQueued()) {
      refusal = makeRoom(state, nowNanos);
    }
    if (refusal.isPresent()) {
      refused.add(new Verdict<>(request, refusal));
      return;
    }
    Waiting<T> waiting = new Waiting<>(request, nowNanos, nowNanos + wait.toNanos());
    places.put(request, queue.add(account, state.getLimit().weight(), priority, waiting));
  }

  /**
   * Gets the verdicts that are due.
   *
   * @param nowNanos the reading of the clock
   * @return the verdicts in their order, never null
   */
  public List<Verdict<T>> poll(long nowNanos) {
    List<Verdict<T>> verdicts = new ArrayList<>(refused);
    refused.clear();
    while (running < capacity) {
      Optional<Place<Waiting<T>>> next = queue.poll(account -> isEligible(account, nowNanos));
      if (next.isEmpty()) {
        break;
      }
      Waiting<T> waiting = next.get().item();
      places.remove(waiting.request());
      if (waiting.deadlineNanos() - nowNanos <= 0) {
        AccountState late = accounts.get(next.get().flow());
        verdicts.add(new Verdict<>(waiting.request(), Optional.of(newRefusal(late, 1, nowNanos))));
        continue;
      }
      accounts.get(next.get().flow()).start();
      running++;
      verdicts.add(new Verdict<>(waiting.request(), Optional.empty()));
    }
    return verdicts;
  }

  /**
   * Gives the place of a waiting request up.
   *
   * @param request the request, not null
   * @return false if the request does not wait any more
   */
  public boolean cancel(T request) {
    Place<Waiting<T>> place = places.remove(request);
    return place != null && queue.remove(place);
  }

  /**
   * Takes in that a request that ran has ended.
   *
   * @param account the client account, not null
   * @param held how long it ran, not null
   */
  public void end(String account, Duration held) {
    running--;
    ends++;
    accounts.get(account).end(held.toNanos());
  }

  /**
   * Does what is due at regular intervals: measures demand, gives up requests that can't start in
   * time, and makes the notices for peers.
   *
   * @param partners the peers to borrow shares from, not null
   * @param nowNanos the reading of the clock
   * @return the notices to send, never null
   */
  public List<ShareDemand> tick(Collection<PeerId> partners, long nowNanos) {
    double seconds = (nowNanos - tickNanos) / NANOS_PER_SECOND;
    if (seconds > 0) {
      endsPerSecond += SMOOTHING * (ends / seconds - endsPerSecond);
      ends = 0;
      tickNanos = nowNanos;
    }
    List<ShareDemand> demands = new ArrayList<>();
    for (Map.Entry<String, AccountState> e : accounts.entrySet()) {
      demands.addAll(e.getValue().tick(partners, queue.getSize(e.getKey()), nowNanos));
    }
    queue.getBacklogged().forEach(account -> giveUpLate(account, nowNanos));
    accounts
        .values()
        .removeIf(a -> a.isForgettable() && queue.getSize(a.getLimit().account()) == 0);
    return demands;
  }

  /**
   * Takes in a notice of a peer.
   *
   * @param notice the notice, not null; others than those on shares are ignored
   * @param nowNanos the reading of the clock
   * @return the notice to answer with, or empty
   */
  public Optional<ShareGrant> onNotice(PeerNotice notice, long nowNanos) {
    if (notice instanceof ShareDemand demand && demand.receiver().equals(self)) {
      return findAccount(demand.key().account()).flatMap(a -> a.onDemand(demand, nowNanos));
    }
    if (notice instanceof ShareGrant grant && grant.receiver().equals(self)) {
      findAccount(grant.key().account()).ifPresent(a -> a.onGrant(grant, nowNanos));
    }
    return Optional.empty();
  }

  /**
   * Gets the number of requests that wait.
   *
   * @return the number, 0 or more
   */
  public int getQueued() {
    return queue.size();
  }

  /**
   * Gets the number of requests that run.
   *
   * @return the number, 0 or more
   */
  public int getRunning() {
    return running;
  }

  private Optional<AccountState> findAccount(String account) {
    return Optional.ofNullable(accounts.get(account));
  }

  private AccountState getAccount(String account, long nowNanos) {
    return accounts.computeIfAbsent(
        account, a -> new AccountState(AccountLimit.ofUnlimited(a), self, settings, nowNanos));
  }

  private boolean isEligible(String account, long nowNanos) {
    AccountState state = accounts.get(account);
    return state.isSlotAvailable(nowNanos) && state.isRateAvailable(nowNanos);
  }

  /** Refuses a request if its expected wait exceeds what is left by a factor. */
  private Optional<Refusal> checkWait(
      AccountState state, int ahead, long leftNanos, double factor, long nowNanos) {
    double left = leftNanos / NANOS_PER_SECOND;
    double wait = Math.max(state.getSecondsUntil(ahead, nowNanos), getCapacityWait(state, ahead));
    boolean isLate = left <= 0 || wait > left * factor;
    return isLate ? Optional.of(newRefusal(state, ahead, nowNanos)) : Optional.empty();
  }

  private Refusal newRefusal(AccountState state, int ahead, long nowNanos) {
    double limited = state.getSecondsUntil(ahead, nowNanos);
    double capacityWait = getCapacityWait(state, ahead);
    return limited > capacityWait
        ? new Refusal(Refusal.Reason.LIMITED, toRetryAfter(limited))
        : new Refusal(Refusal.Reason.OVERLOADED, toRetryAfter(capacityWait));
  }

  /** Gets the seconds until capacity lets a number of requests of an account in. */
  private double getCapacityWait(AccountState state, int ahead) {
    if (capacity == 0) {
      return Double.POSITIVE_INFINITY;
    }
    if (running < capacity && queue.size() + 1 <= capacity - running || endsPerSecond == 0) {
      return 0;
    }
    AccountLimit limit = state.getLimit();
    return ahead / (endsPerSecond * queue.getPart(limit.account(), limit.weight()));
  }

  /** Drops the last request of the longest queue, or refuses the new one if that is its own. */
  private Optional<Refusal> makeRoom(AccountState state, long nowNanos) {
    Place<Waiting<T>> victim = queue.findLastOfLongest().orElseThrow();
    Refusal refusal =
        new Refusal(
            Refusal.Reason.QUEUE_FULL,
            toRetryAfter(getCapacityWait(state, queue.getSize(victim.flow()))));
    double ownPart = (queue.getSize(state.getLimit().account()) + 1) / state.getLimit().weight();
    AccountState longest = accounts.get(victim.flow());
    if (ownPart >= queue.getSize(victim.flow()) / longest.getLimit().weight()) {
      return Optional.of(refusal);
    }
    queue.remove(victim);
    places.remove(victim.item().request());
    refused.add(new Verdict<>(victim.item().request(), Optional.of(refusal)));
    return Optional.empty();
  }

  private void giveUpLate(String account, long nowNanos) {
    AccountState state = accounts.get(account);
    int ahead = 0;
    for (Place<Waiting<T>> place : queue.getPlaces(account)) {
      long left = place.item().deadlineNanos() - nowNanos;
      Optional<Refusal> refusal = checkWait(state, ahead + 1, left, GIVE_UP_FACTOR, nowNanos);
      if (refusal.isPresent()) {
        queue.remove(place);
        places.remove(place.item().request());
        refused.add(new Verdict<>(place.item().request(), refusal));
      } else {
        ahead++;
      }
    }
  }

  private static Duration toRetryAfter(double seconds) {
    double bounded = Math.min(Math.max(seconds, MIN_RETRY.toSeconds()), MAX_RETRY.toSeconds());
    return Duration.ofSeconds((long) Math.ceil(bounded));
  }
}
