package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.OptionalLong;

/** Tracks the slots of one entry at one target that limits its requests. Not thread safe. */
final class RequestSlots {

  /**
   * The time for which an unused slot can still be used. All entries together send at most the
   * requests of a window and this time within the window.
   */
  static final Duration SLOT_LIFETIME = Duration.ofSeconds(1);

  /** The longest slot, so that a target that takes no requests is still tried at times. */
  private static final Duration MAX_SLOT_LENGTH = Duration.ofSeconds(60);

  private static final double NANOS_PER_SECOND = 1e9;

  private final long slotNanos;

  /** Shifts the slots, so that an entry doesn't own those of all targets at the same time. */
  private final long shift;

  private long lastUsedNanos = Long.MIN_VALUE;

  /**
   * Creates a tracker without used slots.
   *
   * @param target the target, not null
   * @param requestsPerSecond the limit of the target, 0 or more
   */
  RequestSlots(InstanceId target, double requestsPerSecond) {
    long nanos = Math.round(NANOS_PER_SECOND / requestsPerSecond);
    slotNanos = Math.max(1, Math.min(MAX_SLOT_LENGTH.toNanos(), nanos));
    shift = target.value().hashCode();
  }

  /** Returns the time until this entry may send a request, 0 for now, empty if it is not known. */
  OptionalLong getWaitNanos(EntrySchedule schedule) {
    OptionalLong start = findSlot(schedule);
    long now = schedule.getSharedNanos();
    return start.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, start.getAsLong() - now));
  }

  /** Uses a slot for a request that is sent now. */
  void use(EntrySchedule schedule) {
    lastUsedNanos = findSlot(schedule).orElse(lastUsedNanos);
  }

  /** Returns the start of the first slot that is neither used nor too old. */
  private OptionalLong findSlot(EntrySchedule schedule) {
    long now = schedule.getSharedNanos();
    long oldest = Math.max(now - SLOT_LIFETIME.toNanos(), Math.min(lastUsedNanos, now));
    long next = Math.floorDiv(oldest, slotNanos) + 1;
    return schedule.getPosition().stream()
        .mapToLong(p -> (p.getNextSlot(next + shift) - shift) * slotNanos)
        .findFirst();
  }
}
