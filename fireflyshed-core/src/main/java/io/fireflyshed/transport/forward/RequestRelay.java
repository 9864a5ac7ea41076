package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Has requests forwarded by another entry, which may reach targets that this entry doesn't.
 * Implementations are thread safe.
 */
public interface RequestRelay {

  /**
   * Sends a request to another entry, which forwards it to targets but to no third entry.
   *
   * @param request the request, not null
   * @return the head followed by the body chunks of the response; it fails with a {@link
   *     ForwardException}, whose outcome is NOT_RUN only if no target ran the request or ever will.
   *     Cancelling it makes the other entry abort the request.
   */
  Flux<ResponsePart> relay(RelayedRequest request);

  /**
   * Has another entry accept a request that still runs at a target of this entry. Nothing is sent
   * but the offer until {@link AcceptedRelay#send}.
   *
   * @param request the request as it would be sent now, not null
   * @return the accepted offer; it fails with a {@link ForwardException} if no entry accepts.
   *     Cancelling it withdraws the offer.
   */
  default Mono<AcceptedRelay> offer(RelayedRequest request) {
    return Mono.just(AcceptedRelay.of(this));
  }

  /**
   * Tests whether another entry is known that could be asked.
   *
   * @return true if requests may be relayed
   */
  default boolean isAvailable() {
    return true;
  }

  /**
   * Returns a relay for an entry that knows no others.
   *
   * @return the relay, which is never available, never null
   */
  static RequestRelay none() {
    return new RequestRelay() {
      @Override
      public Flux<ResponsePart> relay(RelayedRequest request) {
        return Flux.error(
            new ForwardException(
                "relay",
                "entry",
                "no other entry is known",
                Outcome.NOT_RUN,
                Duration.ofMillis(300),
                false));
      }

      @Override
      public Mono<AcceptedRelay> offer(RelayedRequest request) {
        return relay(request).then(Mono.empty());
      }

      @Override
      public boolean isAvailable() {
        return false;
      }
    };
  }
}
