package io.fireflyshed.transport.http;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Decides once whether a request is handed to the network or given up before. Thread safe.
 *
 * <p>A timeout can expire on one thread while another is about to send the first byte. Only one of
 * {@link #begin()} and {@link #isGivenUp()} wins, so a request that was told as not sent is never
 * sent afterwards.
 *
 * <pre>{@code
 * HandOver handOver = new HandOver();
 * handOver.begin(); // just before the first byte
 * boolean isNotSent = handOver.isGivenUp(); // false: it may have arrived
 * }</pre>
 */
public final class HandOver {

  /** Names the states of a request. */
  private enum State {
    PENDING,
    SENT,
    GIVEN_UP
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);

  /**
   * Marks the request as sent. Must be called before the first byte is written.
   *
   * @throws IllegalStateException if the request was given up; it must not be written
   */
  public void begin() {
    if (!state.compareAndSet(State.PENDING, State.SENT)) {
      throw new IllegalStateException("the request was given up before it was sent");
    }
  }

  /**
   * Gives the request up if no byte was written, and tells whether it is given up.
   *
   * @return true if the request was not sent and never will be
   */
  public boolean isGivenUp() {
    return state.compareAndSet(State.PENDING, State.GIVEN_UP) || state.get() == State.GIVEN_UP;
  }
}
