package io.fireflyshed.coordination.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Merges the events of successive attempts into one answer, in the order of their offsets.
 *
 * <p>Only the current attempt contributes. Events of abandoned attempts and events that were
 * already delivered are dropped. Events that arrive early are buffered until the gap before them is
 * filled. Not thread safe.
 *
 * <pre>{@code
 * StreamAssembler<String> answer = new StreamAssembler<>(16);
 * answer.begin("attempt-1");
 * answer.accept("attempt-1", 0, 1, "a"); // [a]
 * answer.begin("attempt-2"); // resumes at offset 1
 * answer.accept("attempt-1", 1, 1, "late"); // []
 * answer.accept("attempt-2", 1, 1, "b"); // [b]
 * answer.end("attempt-2", 2); // COMPLETE
 * }</pre>
 *
 * @param <T> the type of the events
 */
public final class StreamAssembler<T> {

  /** The state of the answer at the end event of an attempt. */
  public enum EndState {
    /** All events were delivered, so the answer is complete. */
    COMPLETE,
    /** Events are missing, so the attempt failed. */
    INCOMPLETE,
    /** The attempt was abandoned before, or the answer was complete already. */
    IGNORED
  }

  private final int maxBuffered;

  /** An event that arrived early, with the number of offsets that it covers. */
  private record BufferedEvent<T>(int length, T event) {}

  private final Map<Long, BufferedEvent<T>> buffered = new TreeMap<>();
  private String currentAttempt = "";
  private long nextOffset;
  private boolean isComplete;

  /**
   * Creates an assembler without events.
   *
   * @param maxBuffered the most events to buffer while one before them is missing, 0 or more
   */
  public StreamAssembler(int maxBuffered) {
    this(maxBuffered, 0);
  }

  /**
   * Creates an assembler for the rest of an answer.
   *
   * @param maxBuffered the most events to buffer while one before them is missing, 0 or more
   * @param delivered the number of offsets that were delivered before, 0 or more
   */
  public StreamAssembler(int maxBuffered, long delivered) {
    if (maxBuffered < 0 || delivered < 0) {
      throw new IllegalArgumentException(
          "maxBuffered and delivered must not be negative: " + maxBuffered + ", " + delivered);
    }
    this.maxBuffered = maxBuffered;
    this.nextOffset = delivered;
  }

  /**
   * Starts an attempt and abandons the one before.
   *
   * @param attemptId the id of the attempt, not null
   * @return the offset at which the attempt must start
   */
  public long begin(String attemptId) {
    currentAttempt = Objects.requireNonNull(attemptId, "attemptId");
    buffered.clear();
    return nextOffset;
  }

  /**
   * Adds an event.
   *
   * @param attemptId the id of the attempt that the event belongs to, not null
   * @param offset the position of the event in the answer, from 0
   * @param length the number of offsets that the event covers, 0 or more
   * @param event the event, not null
   * @return the events to deliver now, in order, never null
   * @throws IllegalStateException if the event partly overlaps delivered ones, or if more events
   *     than allowed are buffered
   */
  public List<T> accept(String attemptId, long offset, int length, T event) {
    Objects.requireNonNull(event, "event");
    if (isComplete || !currentAttempt.equals(attemptId)) {
      return List.of();
    }
    if (offset < nextOffset) {
      if (offset + length > nextOffset) {
        throw new IllegalStateException(
            "an event overlaps the events delivered up to offset " + nextOffset);
      }
      return List.of();
    }
    buffered.putIfAbsent(offset, new BufferedEvent<>(length, event));
    List<T> ready = new ArrayList<>();
    while (buffered.containsKey(nextOffset)) {
      BufferedEvent<T> next = buffered.remove(nextOffset);
      ready.add(next.event());
      nextOffset += next.length();
    }
    if (buffered.size() > maxBuffered) {
      throw new IllegalStateException(
          "the event at offset " + nextOffset + " is missing and too many later ones arrived");
    }
    return ready;
  }

  /**
   * Records the end event of an attempt.
   *
   * @param attemptId the id of the attempt, not null
   * @param length the number of offsets of the complete answer
   * @return the state of the answer, never null
   */
  public EndState end(String attemptId, long length) {
    if (isComplete || !currentAttempt.equals(attemptId)) {
      return EndState.IGNORED;
    }
    isComplete = buffered.isEmpty() && nextOffset == length;
    return isComplete ? EndState.COMPLETE : EndState.INCOMPLETE;
  }

  /**
   * Returns the number of offsets that were delivered.
   *
   * @return the offset at which the next attempt starts
   */
  public long getDelivered() {
    return nextOffset;
  }

  /**
   * Tests whether the complete answer was delivered.
   *
   * @return true after the end event of a complete answer
   */
  public boolean isComplete() {
    return isComplete;
  }
}
