package io.fireflyshed.transport.forward;

import io.fireflyshed.state.target.Target;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Holds the state of an attempt that has not ended. Several attempts of a request are open while
 * one of them is silent. Used by the handlers of one request, one after the other, except where
 * methods say otherwise.
 */
final class OpenAttempt {

  private final String peer;
  private final Optional<Target> target;
  private final StreamAttempt stream;
  private final ResponseMemory.Share memory;
  private final RelayedAttempts relayed;
  private final int grantedAttempts;
  private final Sinks.Empty<Void> closing = Sinks.empty();
  private volatile SuccessorSearch successors;
  private volatile boolean isPassedOn;
  private final AtomicInteger waitingDeliveries = new AtomicInteger();
  private Optional<StreamAttempt.Delivery> head = Optional.empty();
  private List<ResponsePart> errorResponse = List.of();
  private boolean isCharged;

  private OpenAttempt(
      String peer,
      Optional<Target> target,
      StreamAttempt stream,
      ResponseMemory.Share memory,
      RelayedAttempts relayed,
      int grantedAttempts) {
    this.peer = peer;
    this.target = target;
    this.stream = stream;
    this.memory = memory;
    this.relayed = relayed;
    this.grantedAttempts = grantedAttempts;
  }

  /** Creates an attempt at a target. */
  static OpenAttempt ofTarget(Target target, StreamAttempt stream, ResponseMemory.Share memory) {
    return new OpenAttempt(
        target.id().value(), Optional.of(target), stream, memory, new RelayedAttempts(), 0);
  }

  /**
   * Creates an attempt through another entry.
   *
   * @param grantedAttempts the number of targets that the entry may have run the request, positive
   */
  static OpenAttempt ofRelay(
      String peer, StreamAttempt stream, ResponseMemory.Share memory, int grantedAttempts) {
    return new OpenAttempt(
        peer, Optional.empty(), stream, memory, new RelayedAttempts(), grantedAttempts);
  }

  /** Returns the target or entry, for logs and errors. */
  String getPeer() {
    return peer;
  }

  /** Returns the target, empty if another entry makes the attempt. */
  Optional<Target> getTarget() {
    return target;
  }

  /** Returns the parser of the response if the request is a stream. */
  StreamAttempt getStream() {
    return stream;
  }

  ResponseMemory.Share getMemory() {
    return memory;
  }

  /** Returns the targets at which another entry tries the request, none for one of this entry. */
  RelayedAttempts getRelayed() {
    return relayed;
  }

  /** Returns the number of targets that another entry may use, 0 for an attempt of this entry. */
  int getGrantedAttempts() {
    return grantedAttempts;
  }

  /**
   * Tests whether the targets are known that may run the request, or a stream may go on there, so
   * that another attempt is allowed. Thread safe.
   */
  boolean isSuccessorAllowed() {
    return relayed.areKnown(grantedAttempts) || stream.getEvents() > 0;
  }

  /**
   * Does the same when a successor starts. From then on the request is offered to no further entry.
   */
  boolean tryAddSuccessor() {
    return relayed.tryAddSuccessor(grantedAttempts) || stream.getEvents() > 0;
  }

  /** Returns the number of targets that may run the request by this attempt. */
  int countPossibleRuns() {
    return Math.max(1, grantedAttempts);
  }

  /** Records that the retry budget was charged for this attempt. */
  void setCharged() {
    isCharged = true;
  }

  /** Tests whether the retry budget was charged for this attempt. */
  boolean isCharged() {
    return isCharged;
  }

  /** Returns the search for what may run beside this attempt. Thread safe. */
  SuccessorSearch getSuccessors() {
    return successors;
  }

  /** Replaces the search, after the one before was used. */
  void setSuccessors(SuccessorSearch newSuccessors) {
    successors = newSuccessors;
  }

  /** Records that parts of a response that isn't a stream are passed on. Thread safe. */
  void setPassedOn() {
    isPassedOn = true;
  }

  /** Tests whether parts of a response that isn't a stream are passed on. Thread safe. */
  boolean isPassedOn() {
    return isPassedOn;
  }

  /** Records parts of a stream that wait until the caller takes them. Thread safe. */
  void onWaiting(int deliveries) {
    waitingDeliveries.addAndGet(deliveries);
  }

  /** Records that a part of a stream waits no longer. */
  void onTaken() {
    waitingDeliveries.decrementAndGet();
  }

  /** Tests whether parts of a stream wait until the caller takes them. Thread safe. */
  boolean isWaiting() {
    return waitingDeliveries.get() > 0;
  }

  /** Holds the head of a stream until something follows it. */
  void setHead(StreamAttempt.Delivery newHead) {
    head = Optional.of(newHead);
  }

  /** Returns the head that is held, empty if there is none or it was taken before. */
  Optional<StreamAttempt.Delivery> takeHead() {
    Optional<StreamAttempt.Delivery> taken = head;
    head = Optional.empty();
    return taken;
  }

  /** Records a whole response that states an error, before the attempt fails by it. */
  void setErrorResponse(List<ResponsePart> parts) {
    errorResponse = parts;
  }

  /** Returns the response that states an error, empty if there is none. */
  List<ResponsePart> getErrorResponse() {
    return errorResponse;
  }

  /** Returns events of this attempt until it is closed. */
  <T> Flux<T> untilClosed(Flux<T> source) {
    return source.takeUntilOther(closing.asMono());
  }

  /** Cancels the attempt unless it has ended, and releases what it holds. */
  void close() {
    closing.tryEmitEmpty();
    successors.close();
    memory.release();
  }
}
