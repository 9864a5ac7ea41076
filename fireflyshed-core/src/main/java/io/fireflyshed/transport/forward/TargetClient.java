package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.OptionalLong;
import reactor.core.publisher.Flux;

/** Sends single attempts of requests to targets. Implementations are thread safe. */
public interface TargetClient {

  /**
   * Sends a request to a target. Cancelling the response makes the target abort the request.
   *
   * @param target the target, not null
   * @param routed the request, not null
   * @param remaining the time that the target is given to respond, not null
   * @param lastEventId the id of the event after which a stream is to be resumed, empty to start
   *     from the beginning, not null
   * @return the head followed by the body chunks; it fails with an {@link AttemptException}
   */
  Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId);

  /**
   * Sends a request to a target and says when. Clients that open connections override it.
   *
   * @param target the target, not null
   * @param routed the request, not null
   * @param remaining the time that the target is given to respond, not null
   * @param lastEventId the id of the event after which a stream is to be resumed, empty to start
   *     from the beginning, not null
   * @param onSend is run at most once before the first byte is sent, and not at all if no
   *     connection can be opened, not null; called on any thread
   * @return the head followed by the body chunks; it fails with an {@link AttemptException}
   */
  default Flux<ResponsePart> send(
      Target target,
      RoutedRequest routed,
      Duration remaining,
      OptionalLong lastEventId,
      Runnable onSend) {
    return Flux.defer(
        () -> {
          onSend.run();
          return send(target, routed, remaining, lastEventId);
        });
  }
}
