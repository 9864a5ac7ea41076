package io.fireflyshed.transport.forward;

import reactor.core.publisher.Flux;

/**
 * Represents a request that another entry has agreed to forward and that has not been sent to it.
 * Implementations are thread safe.
 */
public interface AcceptedRelay {

  /**
   * Sends the request.
   *
   * @param request the offered request, as far as it has been answered now, not null
   * @return the response, as of {@link RequestRelay#relay}; to be subscribed to once
   */
  Flux<ResponsePart> send(RelayedRequest request);

  /** Withdraws the offer of a request that is not sent. */
  void cancel();

  /**
   * Creates an offer that costs nothing until the request is relayed.
   *
   * @param relay relays the request, not null
   * @return the offer, never null
   */
  static AcceptedRelay of(RequestRelay relay) {
    return new AcceptedRelay() {
      @Override
      public Flux<ResponsePart> send(RelayedRequest request) {
        return relay.relay(request);
      }

      @Override
      public void cancel() {
        // No other entry knows of the offer.
      }
    };
  }
}
