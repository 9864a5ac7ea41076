package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Keeps the limits that targets state for the requests of all entries, and the turns at these and
 * other targets that the entries use in turns. Not thread safe.
 */
final class RequestLimits {

  /** The time for which the request limit of an unlisted target is kept. */
  private static final Duration RETENTION = Duration.ofSeconds(60);

  /** The wait until this entry knows its position among all entries. */
  private static final Duration UNKNOWN_SLOT_WAIT = Duration.ofSeconds(1);

  private final EntrySchedule schedule;
  private final Map<InstanceId, RequestSlots> slots = new HashMap<>();

  /**
   * Creates limits without any target.
   *
   * @param schedule tells when this entry may use targets that limit their requests, not null
   */
  RequestLimits(EntrySchedule schedule) {
    this.schedule = Objects.requireNonNull(schedule, "schedule");
  }

  /** Returns the time until the rate of a target admits a request, 0 for now. */
  long getWaitNanos(Target target) {
    Optional<TurnRate> rate = schedule.getRates().get(target);
    RequestSlots found = slots.get(target.id());
    if (found == null && rate.isEmpty()) {
      return 0;
    }
    if (found == null) {
      found = new RequestSlots(target.id(), schedule);
      slots.put(target.id(), found);
    }
    found.setRate(rate);
    return found.getWaitNanos().orElse(UNKNOWN_SLOT_WAIT.toNanos());
  }

  /**
   * Takes the turn of a request that was placed. Many requests may be placed before the first of
   * them is sent, and a rate binds in each second.
   */
  Target use(Target target) {
    RequestSlots found = slots.get(target.id());
    if (found != null) {
      found.onPlaced();
    }
    return target;
  }

  /** Records a request that is sent now. */
  void onSent(InstanceId target) {
    RequestSlots found = slots.get(target);
    if (found != null) {
      found.onSent();
    }
  }

  /** Records that a target was silent or couldn't be reached. */
  void onContactLost(InstanceId target) {
    schedule.getRates().onContactLost(target);
  }

  /** Records the limit that a target stated; returns whether it differs from the one before. */
  boolean onLimit(InstanceId target, OptionalDouble limit) {
    if (limit.isEmpty() && !slots.containsKey(target)) {
      return false;
    }
    RequestSlots found = slots.computeIfAbsent(target, t -> new RequestSlots(t, schedule));
    boolean isChanged = !found.getLimit().equals(limit);
    found.onLimit(limit);
    return isChanged;
  }

  /** Returns the limit that a target stated last, empty without one. */
  OptionalDouble get(InstanceId target) {
    RequestSlots found = slots.get(target);
    return found == null ? OptionalDouble.empty() : found.getLimit();
  }

  /** Counts the targets that limit their requests. */
  long count() {
    return slots.values().stream().filter(s -> s.getLimit().isPresent()).count();
  }

  /** Removes the limits of targets that have been unlisted for a while. */
  void retain(Set<InstanceId> listed) {
    slots
        .entrySet()
        .removeIf(
            e -> e.getValue().getAge().compareTo(RETENTION) > 0 && !listed.contains(e.getKey()));
  }
}
