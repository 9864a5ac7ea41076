package io.fireflyshed.coordination.warmup;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.coordination.placement.TurnRate;
import io.fireflyshed.coordination.placement.TurnRates;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.traffic.ColdStartProfile;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Keeps which targets are cold, so that the entries use them in turns.
 *
 * <p>A target is cold from the moment at which its registration or its answer to a health check
 * says so. It is warm once its registration says so; while the registry can't be read, once the
 * time has passed that it stated last. A target that says nothing of it counts as cold for the time
 * of its service after it was listed or restarted; one that was silent or not reached does since
 * then, and all targets of an availability zone do after its evacuation. Only targets of services
 * that state a rate count. Thread safe.
 */
public final class ColdTargets implements TurnRates {

  /** The time from a change at a target until the read that shows it, at most. */
  private static final Duration LISTING_LAG = Duration.ofSeconds(2);

  /** The time for which a lost contact is kept, longer than targets are cold. */
  private static final Duration LOSS_RETENTION = Duration.ofSeconds(60);

  /** A registration of a target that isn't known to be warm. */
  private record Listing(long startMillis, Optional<Duration> coldTime, long sinceNanos) {}

  private final ColdBounds bounds;
  private final Function<ServiceName, Optional<ColdStartProfile>> profiles;
  private final EvacuatedZones evacuated;
  private final MonotonicClock clock;
  private final Map<InstanceId, Listing> listings = new ConcurrentHashMap<>();

  /** The ends of cold times that don't end with a registration. */
  private final Map<InstanceId, Long> endNanos = new ConcurrentHashMap<>();

  /** The times at which targets were last silent or couldn't be reached. */
  private final Map<InstanceId, Long> lostNanos = new ConcurrentHashMap<>();

  private final LongAdder turns = new LongAdder();
  private volatile long readNanos;

  /**
   * Creates a state without any target.
   *
   * @param bounds the most requests of a cold target, not null
   * @param profiles returns what targets of a service bear, empty if any rate, not null
   * @param evacuated knows when evacuations ended, not null
   * @param clock the clock of the evacuated zones, not null
   */
  public ColdTargets(
      ColdBounds bounds,
      Function<ServiceName, Optional<ColdStartProfile>> profiles,
      EvacuatedZones evacuated,
      MonotonicClock clock) {
    this.bounds = Objects.requireNonNull(bounds, "bounds");
    this.profiles = Objects.requireNonNull(profiles, "profiles");
    this.evacuated = Objects.requireNonNull(evacuated, "evacuated");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /**
   * Applies a read of the registry.
   *
   * @param changes what was read, not null
   */
  public synchronized void apply(TargetChanges changes) {
    long now = clock.nanoTime();
    Set<InstanceId> removed = new HashSet<>(changes.removed());
    if (changes.isWhole()) {
      removed.addAll(listings.keySet());
    }
    for (Target target : changes.updated()) {
      removed.remove(target.id());
      apply(target, Optional.ofNullable(changes.coldTimes().get(target.id())), now);
    }
    removed.forEach(id -> remove(id, now));
    endNanos.values().removeIf(end -> now - end >= 0);
    lostNanos.values().removeIf(lost -> now - lost >= LOSS_RETENTION.toNanos());
    readNanos = now;
  }

  private void apply(Target target, Optional<Duration> coldTime, long nowNanos) {
    if (coldTime.filter(Duration::isZero).isPresent()) {
      listings.remove(target.id());
      return;
    }
    listings.merge(
        target.id(),
        new Listing(target.startMillis(), coldTime, nowNanos),
        (known, next) -> {
          boolean isSame = coldTime.isEmpty() && known.startMillis() == next.startMillis();
          return isSame ? known : next;
        });
  }

  /** Keeps the cold time of a target that may come back, or that is used although not listed. */
  private void remove(InstanceId target, long nowNanos) {
    Listing listing = listings.remove(target);
    if (listing != null) {
      listing.coldTime().ifPresent(time -> extend(target, nowNanos + getNanos(time)));
    }
  }

  private void extend(InstanceId target, long end) {
    endNanos.merge(target, end, (known, next) -> next - known > 0 ? next : known);
  }

  private static long getNanos(Duration coldTime) {
    return coldTime.plus(LISTING_LAG).toNanos();
  }

  /**
   * Records what the answer to a health check said. A target isn't taken as warm by it, since the
   * answers may be wrong.
   *
   * @param target the target, not null
   * @param coldTime the time for which it stays cold, not null
   */
  public void onReported(InstanceId target, Duration coldTime) {
    if (!coldTime.isZero()) {
      extend(target, clock.nanoTime() + coldTime.toNanos());
    }
  }

  @Override
  public Optional<TurnRate> get(Target target) {
    Optional<ColdStartProfile> profile = profiles.apply(target.service());
    return profile.isPresent() && isCold(target, profile.get().duration())
        ? profile.map(bounds::getRate)
        : Optional.empty();
  }

  private boolean isCold(Target target, Duration coldStart) {
    Long end = endNanos.get(target.id());
    Listing listing = listings.get(target.id());
    OptionalLong evacuationEnd = evacuated.getEndNanos(target.zone());
    Long lost = lostNanos.get(target.id());
    if (end == null && listing == null && lost == null && evacuationEnd.isEmpty()) {
      return false;
    }
    long now = clock.nanoTime();
    return (end != null && now - end < 0)
        || (lost != null && now - lost < coldStart.toNanos())
        || (listing != null && isCold(listing, coldStart, now))
        || (evacuationEnd.isPresent() && now - evacuationEnd.getAsLong() < coldStart.toNanos());
  }

  private boolean isCold(Listing listing, Duration coldStart, long nowNanos) {
    return listing.coldTime().isPresent()
        ? nowNanos - readNanos < getNanos(listing.coldTime().get())
        : nowNanos - listing.sinceNanos() < coldStart.toNanos();
  }

  @Override
  public void onContactLost(InstanceId target) {
    lostNanos.put(target, clock.nanoTime());
  }

  @Override
  public void onTurnUsed() {
    turns.increment();
  }

  /**
   * Gets the turns that were used at cold targets.
   *
   * @return the number of turns
   */
  public long getTurns() {
    return turns.sum();
  }

  /**
   * Lists the targets that said that they are cold, in their registration or a health check.
   *
   * @return the targets, also of services without a rate, never null
   */
  public Set<InstanceId> getStated() {
    long now = clock.nanoTime();
    Set<InstanceId> cold =
        listings.entrySet().stream()
            .filter(e -> e.getValue().coldTime().isPresent())
            .filter(e -> isCold(e.getValue(), Duration.ZERO, now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    endNanos.forEach(
        (target, end) -> {
          if (now - end < 0) {
            cold.add(target);
          }
        });
    return cold;
  }
}
