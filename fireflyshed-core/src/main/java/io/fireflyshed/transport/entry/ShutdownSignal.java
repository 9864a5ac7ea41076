package io.fireflyshed.transport.entry;

import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Ends what is in flight with an error at the deadline of a shutdown. Thread safe.
 *
 * <p>A response of several parts must not be ended with {@link #failOnShutdown}, which can't tell
 * whether the rest of it is in hand; {@link AttemptEvents} can.
 */
public final class ShutdownSignal {

  private final Sinks.Empty<Void> sink = Sinks.empty();
  private volatile boolean isFired;

  /** Ends all streams to which the signal was added. */
  public void fire() {
    isFired = true;
    sink.tryEmitEmpty();
  }

  /**
   * Tests whether the signal was fired.
   *
   * @return true from then on
   */
  public boolean isFired() {
    return isFired;
  }

  /**
   * Returns the earlier of this signal and a timeout.
   *
   * @param timeout emits when the timeout has passed, not null
   * @return emits an element once one of them does, never null
   */
  public Mono<?> or(Mono<?> timeout) {
    return Mono.<Object>firstWithSignal(asMono(), timeout);
  }

  private Mono<Boolean> asMono() {
    return sink.asMono().thenReturn(true);
  }

  /**
   * Returns a stream that fails with an error and cancels its source when the signal is fired.
   *
   * @param source the source, which emits at most one element, not null
   * @param error supplies the error, not null
   * @param <T> the type of the elements
   * @return the stream, never null
   */
  public <T> Flux<T> failOnShutdown(Flux<T> source, Supplier<Throwable> error) {
    return StreamUtils.failOn(source, asMono(), error);
  }
}
