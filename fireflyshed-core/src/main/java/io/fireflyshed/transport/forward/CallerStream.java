package io.fireflyshed.transport.forward;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Knows which part of a stream was delivered to the caller, from which the next attempt resumes it.
 *
 * <p>Only {@link #deliver} changes it, for parts that are past every point at which the end of an
 * attempt may drop them. Not thread safe; parts are delivered one after the other.
 */
final class CallerStream {

  private OptionalLong lastEventId;
  private Optional<String> mediaType = Optional.empty();
  private boolean isHeadSent;
  private int events;
  private boolean areIdsConsecutive = true;

  /** Creates a stream that starts after an event, or from the beginning. */
  CallerStream(OptionalLong lastEventId) {
    this.lastEventId = lastEventId;
  }

  /** Starts the next attempt, whose response comes from a target or an entry. */
  StreamAttempt newAttempt(String peer) {
    return isHeadSent
        ? StreamAttempt.ofResumption(peer, lastEventId, mediaType, getNextEventId())
        : new StreamAttempt(peer, lastEventId);
  }

  /** Returns the id that the next event must have, empty if the ids so far don't tell. */
  private OptionalLong getNextEventId() {
    return areIdsConsecutive && events > 1 && lastEventId.isPresent()
        ? OptionalLong.of(lastEventId.getAsLong() + 1)
        : OptionalLong.empty();
  }

  /** Records that a part is delivered, and returns it. */
  ResponsePart deliver(StreamAttempt.Delivery delivery) {
    isHeadSent = true;
    if (delivery.part() instanceof ResponsePart.Head head) {
      mediaType = head.response().getMediaType();
    }
    if (delivery.eventId().isPresent()) {
      long id = delivery.eventId().getAsLong();
      areIdsConsecutive &= events == 0 || id == lastEventId.orElse(id) + 1;
      events++;
      lastEventId = delivery.eventId();
    }
    return delivery.part();
  }

  boolean isHeadSent() {
    return isHeadSent;
  }

  /** Returns the id of the last event that the caller has, empty for none. */
  OptionalLong getLastEventId() {
    return lastEventId;
  }
}
