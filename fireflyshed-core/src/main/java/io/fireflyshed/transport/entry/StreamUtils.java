package io.fireflyshed.transport.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Operators for reactive streams. */
public final class StreamUtils {

  private StreamUtils() {}

  /**
   * Returns a stream that fails and cancels its source if a signal emits before the source ends.
   *
   * <p>The source is not subscribed to once the signal has emitted, because a cancellation can't
   * undo what the subscription starts. A signal that completes without an element has no effect. It
   * must not fail, because its error would end the stream without cancelling the source.
   *
   * @param source the source, not null
   * @param signal makes the stream fail when it emits an element, not null
   * @param error supplies the error with which the stream fails, not null
   * @param <T> the type of the elements
   * @return the stream, never null
   */
  public static <T> Flux<T> failOn(Flux<T> source, Mono<?> signal, Supplier<Throwable> error) {
    return Flux.defer(
        () -> {
          AtomicBoolean hasFired = new AtomicBoolean();
          // The operator takeUntilOther takes a completion for an element.
          Publisher<?> recordedSignal =
              signal.doOnNext(s -> hasFired.set(true)).switchIfEmpty(Mono.never());
          // The operator takeUntilOther subscribes to the signal before the source.
          return Flux.defer(() -> hasFired.get() ? Flux.<T>empty() : source)
              .takeUntilOther(recordedSignal)
              .concatWith(
                  Flux.defer(() -> hasFired.get() ? Flux.error(error.get()) : Flux.empty()));
        });
  }
}
