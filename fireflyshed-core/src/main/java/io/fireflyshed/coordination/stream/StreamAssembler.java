package io.fireflyshed.coordination.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Joins the events of successive attempts to one answer in the order of its offsets.
 *
 * <p>Only the current attempt contributes. Events of abandoned attempts and events that were
 * delivered before are dropped; events that came too early are held until the gap is filled. Not
 * thread safe.
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

  /** Tells what the end event of an attempt means. */
  public enum EndState {
    /** All events were delivered; the answer is complete. */
    COMPLETE,
    /** Events are missing; the attempt is broken. */
    INCOMPLETE,
    /** The attempt was abandoned before. */
    IGNORED
  }

  private final int maxEarly;

  /** An event and the number of offsets that it covers. */
  private record Early<T>(int length, T event) {}

  private final Map<Long, Early<T>> early = new TreeMap<>();
  private String attempt = "";
  private long delivered;
  private boolean isComplete;

  /**
   * Creates an empty answer.
   *
   * @param maxEarly the most events to hold for a gap, 0 or more
   */
  public StreamAssembler(int maxEarly) {
    if (maxEarly < 0) {
      throw new IllegalArgumentException("maxEarly must not be negative: " + maxEarly);
    }
    this.maxEarly = maxEarly;
  }

  /**
   * Starts an attempt and abandons the one before.
   *
   * @param next the id of the attempt, not null
   * @return the offset at which the attempt must start
   */
  public long begin(String next) {
    attempt = Objects.requireNonNull(next, "next");
    early.clear();
    return delivered;
  }

  /**
   * Takes in an event.
   *
   * @param from the id of the attempt that it belongs to, not null
   * @param offset the position of the event in the answer, from 0
   * @param length the number of offsets that the event covers, 0 or more
   * @param event the event, not null
   * @return the events to deliver now, in order, never null
   * @throws IllegalStateException if the event overlaps the delivered ones in part, or if too many
   *     events wait for a gap to be filled
   */
  public List<T> accept(String from, long offset, int length, T event) {
    Objects.requireNonNull(event, "event");
    if (isComplete || !attempt.equals(from)) {
      return List.of();
    }
    if (offset < delivered) {
      if (offset + length > delivered) {
        throw new IllegalStateException("an event overlaps offset " + delivered);
      }
      return List.of();
    }
    early.putIfAbsent(offset, new Early<>(length, event));
    List<T> ready = new ArrayList<>();
    while (early.containsKey(delivered)) {
      Early<T> next = early.remove(delivered);
      ready.add(next.event());
      delivered += next.length();
    }
    if (early.size() > maxEarly) {
      throw new IllegalStateException("no event with offset " + delivered + " came");
    }
    return ready;
  }

  /**
   * Takes in the end event of an attempt.
   *
   * @param from the id of the attempt, not null
   * @param length the number of events of the whole answer
   * @return what it means, never null
   */
  public EndState end(String from, long length) {
    if (isComplete || !attempt.equals(from)) {
      return EndState.IGNORED;
    }
    isComplete = early.isEmpty() && delivered == length;
    return isComplete ? EndState.COMPLETE : EndState.INCOMPLETE;
  }

  /**
   * Gets the number of events that were delivered.
   *
   * @return the offset at which a next attempt starts
   */
  public long getDelivered() {
    return delivered;
  }

  /**
   * Tests whether the whole answer was delivered.
   *
   * @return true after the end of a complete answer
   */
  public boolean isComplete() {
    return isComplete;
  }
}
