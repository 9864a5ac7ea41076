package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.protocol.traffic.EventSplitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits the response to one attempt of a stream into its head and complete events. The head is
 * held back until the first of them, and events that the caller had before are left out. Not thread
 * safe.
 */
final class StreamAttempt {

  /**
   * A part of the response that the caller should get.
   *
   * @param part the part, not null
   * @param eventId the id of the event, empty for the head and for events without an id, not null
   * @param isProgress whether the part advances the stream, unlike the head and comments
   */
  record Delivery(ResponsePart part, OptionalLong eventId, boolean isProgress) {}

  private static final String STEP = "forward";

  private final String peer;
  private final EventSplitter splitter = new EventSplitter();
  private final List<ResponsePart> errorParts = new ArrayList<>();
  private final boolean isResumption;
  private final Optional<String> requiredMediaType;
  private final OptionalLong requiredEventId;
  private ResponsePart.Head head;
  private OptionalLong lastEventId;
  private boolean isHeadSent;
  private boolean isContinued;
  private int events;
  private int repeatedEvents;
  private long errorBytes;

  /**
   * Creates an attempt whose head the caller gets.
   *
   * @param peer the target or entry that responds, not null
   * @param lastEventId the id of the last event that the caller has, empty for none, not null
   */
  StreamAttempt(String peer, OptionalLong lastEventId) {
    this(peer, lastEventId, false, Optional.empty(), OptionalLong.empty());
  }

  private StreamAttempt(
      String peer,
      OptionalLong lastEventId,
      boolean isResumption,
      Optional<String> requiredMediaType,
      OptionalLong requiredEventId) {
    this.peer = peer;
    this.lastEventId = lastEventId;
    this.isResumption = isResumption;
    this.isHeadSent = isResumption;
    this.requiredMediaType = requiredMediaType;
    this.requiredEventId = requiredEventId;
  }

  /**
   * Creates an attempt that continues a response of which the caller has the head.
   *
   * @param peer the target or entry that responds, not null
   * @param lastEventId the id of the last event that the caller has, empty for none, not null
   * @param mediaType the media type of the response, empty for none, not null
   * @param nextEventId the id of the event that must come next, empty if any may, not null
   */
  static StreamAttempt ofResumption(
      String peer, OptionalLong lastEventId, Optional<String> mediaType, OptionalLong nextEventId) {
    return new StreamAttempt(peer, lastEventId, true, mediaType, nextEventId);
  }

  /** Adds a part of the response and returns what the caller should get now. */
  List<Delivery> add(ResponsePart part) {
    if (part instanceof ResponsePart.Head received) {
      head = received;
      if (!received.response().isSuccess()) {
        errorParts.add(part);
      } else if (isResumption && !received.response().getMediaType().equals(requiredMediaType)) {
        throw newMismatchException(
            "the media type changed to " + received.response().getMediaType().orElse("none"));
      }
      return List.of();
    }
    if (!errorParts.isEmpty()) {
      errorParts.add(part);
      errorBytes += ((ResponsePart.BodyChunk) part).bytes().length;
      return List.of();
    }
    List<Delivery> deliveries = new ArrayList<>();
    for (EventSplitter.RawEvent event : split((ResponsePart.BodyChunk) part)) {
      boolean isRepeated = isRepeated(event);
      if (!event.isBlank()) {
        events++;
        repeatedEvents += isRepeated ? 1 : 0;
      }
      if (!isRepeated) {
        checkContinuation(event);
        addHead(deliveries);
        lastEventId = event.id().isPresent() ? event.id() : lastEventId;
        deliveries.add(
            new Delivery(new ResponsePart.BodyChunk(event.bytes()), event.id(), !event.isBlank()));
      }
    }
    return deliveries;
  }

  /**
   * Checks that the first new event of a resumed stream follows the last one that was delivered.
   */
  private void checkContinuation(EventSplitter.RawEvent event) {
    if (!isResumption || isContinued || event.isBlank()) {
      return;
    }
    if (lastEventId.isPresent() && event.id().isEmpty()) {
      throw newMismatchException("the resumed stream begins with an event without an id");
    }
    if (requiredEventId.isPresent() && !event.id().equals(requiredEventId)) {
      throw newMismatchException(
          "the resumed stream begins with event "
              + event.id().getAsLong()
              + " instead of "
              + requiredEventId.getAsLong());
    }
    isContinued = true;
  }

  private AttemptException newMismatchException(String message) {
    return new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null);
  }

  private List<EventSplitter.RawEvent> split(ResponsePart.BodyChunk chunk) {
    try {
      return splitter.split(chunk.bytes());
    } catch (IllegalArgumentException e) {
      throw new AttemptException(STEP, peer, Outcome.UNKNOWN, e.getMessage(), e);
    }
  }

  private boolean isRepeated(EventSplitter.RawEvent event) {
    return event.id().isPresent()
        && lastEventId.isPresent()
        && event.id().getAsLong() <= lastEventId.getAsLong();
  }

  private void addHead(List<Delivery> deliveries) {
    if (!isHeadSent) {
      isHeadSent = true;
      deliveries.add(new Delivery(head, OptionalLong.empty(), false));
    }
  }

  /**
   * Ends the response and returns what the caller should still get.
   *
   * @param isEndVerified whether the sender has made sure that the response is complete
   * @throws AttemptException if the response is an error or incomplete
   */
  List<Delivery> end(boolean isEndVerified) {
    if (head == null) {
      throw new AttemptException(STEP, peer, Outcome.UNKNOWN, "the response has no head", null);
    }
    if (!errorParts.isEmpty()) {
      String message = "the target responded with status " + head.response().status();
      throw new AttemptException(STEP, peer, Outcome.RAN, message, null);
    }
    if (!splitter.isBetweenEvents()) {
      throw new TargetLostException(
          STEP, peer, Outcome.UNKNOWN, "the stream ended within an event", null);
    }
    if (events == 0 && !isEndVerified && !head.response().isDelimited()) {
      throw new ConnectionLostException(
          STEP, peer, "the connection was closed before the first event", null);
    }
    List<Delivery> deliveries = new ArrayList<>();
    addHead(deliveries);
    return deliveries;
  }

  /** Returns the response if it is an error, otherwise nothing. */
  List<ResponsePart> getErrorResponse() {
    return errorParts;
  }

  /** Returns the bytes of the response that are held, of an error or of an unfinished event. */
  long getHeldBytes() {
    return errorBytes + splitter.getHeldBytes();
  }

  /** Tests whether the response states an error. */
  boolean isError() {
    return !errorParts.isEmpty();
  }

  /** Returns the id of the last event that the caller has or will get, empty for none. */
  OptionalLong getLastEventId() {
    return lastEventId;
  }

  /** Returns the number of events of the response, including repeated ones. */
  int getEvents() {
    return events;
  }

  /** Returns the number of events of the response that the caller had before. */
  int getRepeatedEvents() {
    return repeatedEvents;
  }
}
