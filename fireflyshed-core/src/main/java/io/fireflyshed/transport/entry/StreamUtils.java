package io.fireflyshed.transport.entry;

import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Adds limits to streams. */
public final class StreamUtils {

  private StreamUtils() {}

  /**
   * Makes a stream fail when a signal comes before its end; the source is cancelled.
   *
   * <p>The signal must complete rather than fail, because a failing signal would not cancel the
   * source.
   *
   * @param source the stream, not null
   * @param signal cuts the stream, not null
   * @param error makes the error, not null
   * @param <T> the type of the elements
   * @return the stream that can be cut, never null
   */
  public static <T> Flux<T> failOn(Flux<T> source, Mono<?> signal, Supplier<Throwable> error) {
    return Flux.defer(
        () -> {
          boolean[] isCut = new boolean[1];
          Publisher<?> cut = signal.doOnNext(s -> isCut[0] = true);
          return source
              .takeUntilOther(cut)
              .concatWith(Flux.defer(() -> isCut[0] ? Flux.error(error.get()) : Flux.empty()));
        });
  }
}
