package io.fireflyshed.transport.entry;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Merges the events of attempts that run beside each other into one response. Events are handled
 * one after the other, so that their handlers need no locks.
 *
 * <p>The response ends when a handler calls {@link #complete} or throws; the sources are cancelled
 * then, and if the caller leaves. To be subscribed to once.
 *
 * <pre>{@code
 * AttemptEvents<String> events = new AttemptEvents<>();
 * events.add(Flux.just("a", "b").map(text -> () -> List.of(text)));
 * Flux<String> response = events.asFlux(); // a, b
 * }</pre>
 *
 * @param <T> the type of the parts of the response
 */
public final class AttemptEvents<T> {

  /** Leaves events that can't be handled yet at their sources, which hold little. */
  private static final int PREFETCHED_EVENTS = 1;

  private final Sinks.Many<Flux<Supplier<List<T>>>> sources =
      Sinks.many().unicast().onBackpressureBuffer();

  private boolean isComplete;

  /**
   * Adds a source of events. Called before the subscription or by handlers only.
   *
   * @param source the handlers of the events, each of which returns the next parts of the response;
   *     it must not fail, not null
   */
  public void add(Flux<Supplier<List<T>>> source) {
    sources.emitNext(source, Sinks.EmitFailureHandler.FAIL_FAST);
  }

  /** Ends the response after the parts that the current handler returns. Called by handlers. */
  public void complete() {
    isComplete = true;
  }

  /**
   * Returns the response.
   *
   * @return the parts that the handlers return; it fails with the error of a handler, never null
   */
  public Flux<T> asFlux() {
    return sources
        .asFlux()
        .flatMap(Function.identity(), Integer.MAX_VALUE, PREFETCHED_EVENTS)
        .<List<T>>handle(
            (event, sink) -> {
              List<T> parts = event.get();
              if (!parts.isEmpty()) {
                sink.next(parts);
              }
              if (isComplete) {
                sink.complete();
              }
            })
        .concatMapIterable(Function.identity(), PREFETCHED_EVENTS);
  }
}
