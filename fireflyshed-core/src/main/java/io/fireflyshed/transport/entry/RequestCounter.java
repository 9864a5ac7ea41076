package io.fireflyshed.transport.entry;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;

/** Counts the requests in flight and refuses them once the server is closing. Thread safe. */
final class RequestCounter {

  private final AtomicInteger inFlight;
  private final BooleanSupplier isClosing;

  /**
   * Creates a counter.
   *
   * @param inFlight the number of requests in flight, not null
   * @param isClosing tests whether requests are refused, not null
   */
  RequestCounter(AtomicInteger inFlight, BooleanSupplier isClosing) {
    this.inFlight = inFlight;
    this.isClosing = isClosing;
  }

  /**
   * Handles or refuses a request and counts it until its response is sent.
   *
   * @param handler handles the request, not null
   * @param refusal refuses the request, not null
   * @return completes when the response is sent, never null
   */
  Mono<Void> count(Supplier<Publisher<Void>> handler, Supplier<Publisher<Void>> refusal) {
    return Mono.defer(
        () -> {
          // Once the server is closing and no request is in flight, none can be taken anymore.
          inFlight.incrementAndGet();
          return Mono.defer(
                  () -> Mono.from(isClosing.getAsBoolean() ? refusal.get() : handler.get()))
              .doFinally(signal -> inFlight.decrementAndGet());
        });
  }
}
