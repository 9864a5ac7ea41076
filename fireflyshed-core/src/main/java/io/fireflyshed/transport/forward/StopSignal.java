package io.fireflyshed.transport.forward;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Tells that this entry stops. Thread safe. */
final class StopSignal {

  private final Sinks.Empty<Void> sink = Sinks.empty();
  private volatile boolean isStopping;

  /** Gives the signal; does nothing if it was given before. */
  void give() {
    isStopping = true;
    sink.tryEmitEmpty();
  }

  boolean isStopping() {
    return isStopping;
  }

  /** Returns a signal that completes once the entry stops. */
  Mono<Void> asMono() {
    return sink.asMono();
  }
}
