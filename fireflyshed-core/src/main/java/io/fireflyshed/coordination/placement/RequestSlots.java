package io.fireflyshed.coordination.placement;

import io.fireflyshed.coordination.directory.EntryPosition;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** Tracks the slots of one entry at one target that limits its requests. Not thread safe. */
final class RequestSlots {

  /**
   * The time for which an unused slot can still be used. All entries together send at most the
   * requests of a window and this time within the window.
   */
  private static final Duration SLOT_LIFETIME = Duration.ofSeconds(1);

  /** The longest slot, so that a target that takes no requests is still tried at times. */
  private static final Duration MAX_SLOT_LENGTH = Duration.ofSeconds(60);

  private static final double NANOS_PER_SECOND = 1e9;

  private final EntrySchedule schedule;

  /** Shifts the slots, so that an entry doesn't own those of all targets at the same time. */
  private final long shift;

  private OptionalDouble limit = OptionalDouble.empty();

  /** The rate that binds in each second, apart from the limit that the target states. */
  private Optional<TurnRate> rate = Optional.empty();

  private long toldNanos;

  /** The start of the last used slot, or the time of the last request without a limit. */
  private long lastUsedNanos = Long.MIN_VALUE;

  /**
   * Creates a tracker without a limit.
   *
   * @param target the target, not null
   * @param schedule the schedule of this entry, not null
   */
  RequestSlots(InstanceId target, EntrySchedule schedule) {
    this.schedule = schedule;
    this.shift = target.value().hashCode();
  }

  /** Returns the requests per second that the target takes, empty without a limit. */
  OptionalDouble getLimit() {
    return limit;
  }

  /** Records what the target said about its limit. */
  void onLimit(OptionalDouble requestsPerSecond) {
    limit = requestsPerSecond;
    toldNanos = schedule.getSharedNanos();
  }

  /** Returns the time since the target last said whether it has a limit. */
  Duration getAge() {
    return Duration.ofNanos(schedule.getSharedNanos() - toldNanos);
  }

  /** Sets the rate that binds apart from the limit, empty for none. */
  void setRate(Optional<TurnRate> rate) {
    this.rate = rate;
  }

  private boolean isInTurns() {
    return limit.isPresent() || rate.isPresent();
  }

  /**
   * Returns the time until the limit and the rate admit a request, 0 for now, empty if it is not
   * known.
   */
  OptionalLong getWaitNanos() {
    if (!isInTurns()) {
      return OptionalLong.of(0);
    }
    long now = schedule.getSharedNanos();
    OptionalLong start = findSlot(now);
    return start.isEmpty() ? start : OptionalLong.of(Math.max(0, start.getAsLong() - now));
  }

  /** Records a request that was placed, whose turn nobody else can use. */
  void onPlaced() {
    if (rate.isPresent()) {
      use();
      schedule.getRates().onTurnUsed();
    }
  }

  /** Records a request that is sent now. */
  void onSent() {
    if (rate.isEmpty()) {
      use();
    }
  }

  private void use() {
    long now = schedule.getSharedNanos();
    lastUsedNanos = isInTurns() ? findSlot(now).orElse(now) : now;
  }

  /** Returns the start of the first slot of this entry that is neither used nor too old. */
  private OptionalLong findSlot(long nowNanos) {
    Optional<EntryPosition> position =
        rate.isPresent() ? schedule.getAgreedPosition() : schedule.getPosition();
    return position.stream().mapToLong(p -> findSlot(p, nowNanos)).findFirst();
  }

  private long findSlot(EntryPosition position, long nowNanos) {
    TurnRate binding = getBindingRate();
    long slotNanos = getSlotNanos(binding);
    long period = rate.isPresent() ? schedule.getLongestPeriod() : position.getPeriod();
    // A changed limit moves the slots; the distance keeps the entry from using two of one round.
    long distance = (period - 1) * slotNanos;
    long lastNanos = Math.min(lastUsedNanos, nowNanos) + distance;
    long oldestNanos = Math.max(nowNanos - binding.lifetime().toNanos(), lastNanos);
    long next = Math.floorDiv(oldestNanos, slotNanos) + 1;
    return (position.getNextSlot(next + shift) - shift) * slotNanos;
  }

  private TurnRate getBindingRate() {
    Optional<TurnRate> stated =
        limit.stream().mapToObj(l -> new TurnRate(l, SLOT_LIFETIME)).findFirst();
    return stated.isEmpty()
        ? rate.orElseThrow()
        : rate.map(stated.get()::restrict).orElse(stated.get());
  }

  private static long getSlotNanos(TurnRate binding) {
    long nanos = Math.round(NANOS_PER_SECOND / binding.requestsPerSecond());
    return Math.max(1, Math.min(MAX_SLOT_LENGTH.toNanos(), nanos));
  }
}
