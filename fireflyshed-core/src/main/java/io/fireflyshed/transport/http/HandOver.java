package io.fireflyshed.transport.http;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Records whether a request was sent or was abandoned before it was sent, which is decided only
 * once. Thread safe.
 *
 * <p>A timeout can expire on one thread while another is about to write the first byte. Only one of
 * {@link #begin()} and {@link #isGivenUp()} takes effect, so a request that was reported as not
 * sent is never sent afterwards.
 *
 * <pre>{@code
 * HandOver handOver = new HandOver();
 * handOver.begin(); // just before the first byte
 * boolean isUnsent = handOver.isGivenUp(); // false: it may have arrived
 * }</pre>
 */
public final class HandOver {

  /** The state of a request. */
  private enum State {
    PENDING,
    SENT,
    ABANDONED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);

  /**
   * Marks the request as sent. Must be called before the first byte is written.
   *
   * @throws IllegalStateException if the request was abandoned; it must not be written
   */
  public void begin() {
    if (!state.compareAndSet(State.PENDING, State.SENT)) {
      throw new IllegalStateException("the request was abandoned before it was sent");
    }
  }

  /**
   * Abandons the request unless it was marked as sent.
   *
   * @return true if the request was abandoned, now or by an earlier call, so that it is never sent
   */
  public boolean isGivenUp() {
    return state.compareAndSet(State.PENDING, State.ABANDONED) || state.get() == State.ABANDONED;
  }
}
