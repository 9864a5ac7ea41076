package io.fireflyshed.transport.entry;

import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Ends what is still in flight at the deadline of a shutdown in an explicit error. Thread safe. */
final class ShutdownSignal {

  private final Sinks.Empty<Void> sink = Sinks.empty();
  private volatile boolean isFired;

  /** Ends everything in flight. */
  void fire() {
    isFired = true;
    sink.tryEmitEmpty();
  }

  /** Tests whether the deadline has passed. */
  boolean isFired() {
    return isFired;
  }

  /** Makes a stream fail with an error at the deadline; the source is cancelled. */
  <T> Flux<T> limit(Flux<T> source, Supplier<Throwable> error) {
    Mono<Boolean> fired = sink.asMono().thenReturn(true);
    return Flux.defer(
        () -> {
          boolean[] isCut = new boolean[1];
          return source
              .takeUntilOther(fired.doOnNext(f -> isCut[0] = true))
              .concatWith(Flux.defer(() -> isCut[0] ? Flux.error(error.get()) : Flux.empty()));
        });
  }
}
