package io.fireflyshed.transport.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.publisher.SynchronousSink;

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

  /** Whether the signal of {@link #asFlux(Mono, Supplier)} has ended the response. */
  private boolean isEnded;

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
        .<List<T>>handle(this::handle)
        .concatMapIterable(Function.identity(), PREFETCHED_EVENTS);
  }

  /**
   * Returns the response, which a signal ends, such as its timeout. The signal is handled like the
   * other events, but even if the caller takes no parts. It does not cut a response that is
   * complete by then.
   *
   * @param signal emits an element when the response must end; it must not fail, not null
   * @param onSignal returns the last parts of the response in place of those that the caller has
   *     not taken, or throws the error with which it fails, not null
   * @return the parts that the handlers return; it fails with the error of a handler, never null
   */
  public Flux<T> asFlux(Mono<?> signal, Supplier<List<T>> onSignal) {
    return Flux.defer(
        () -> {
          Sinks.Empty<Void> end = Sinks.empty();
          Flux<T> response = asFlux().doOnComplete(end::tryEmitEmpty);
          Flux<Flux<T>> replacement =
              signal.flatMap(s -> Mono.justOrEmpty(handleSignal(onSignal))).flux();
          // The signal is subscribed to first, and nothing starts once it has emitted.
          return Flux.merge(replacement, Flux.just(response))
              .takeUntil(next -> next != response)
              .takeUntilOther(end.asMono())
              .switchMap(Function.identity());
        });
  }

  private void handle(Supplier<List<T>> event, SynchronousSink<List<T>> sink) {
    List<T> parts;
    boolean isLast;
    // The signal is on another thread and doesn't wait until the caller takes parts.
    synchronized (this) {
      if (isEnded) {
        return;
      }
      try {
        parts = event.get();
      } catch (RuntimeException e) {
        // The signal doesn't replace an error that ends the response.
        isComplete = true;
        throw e;
      }
      isLast = isComplete;
    }
    if (!parts.isEmpty()) {
      sink.next(parts);
    }
    if (isLast) {
      sink.complete();
    }
  }

  private synchronized Optional<Flux<T>> handleSignal(Supplier<List<T>> onSignal) {
    if (isComplete) {
      return Optional.empty();
    }
    isEnded = true;
    try {
      return Optional.of(Flux.fromIterable(onSignal.get()));
    } catch (RuntimeException e) {
      return Optional.of(Flux.error(e));
    }
  }
}
