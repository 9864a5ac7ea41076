package io.fireflyshed.transport.entry;

import java.util.function.Supplier;
import reactor.core.publisher.Flux;
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
    return StreamUtils.failOn(source, sink.asMono().thenReturn(true), error);
  }
}
