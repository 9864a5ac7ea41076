package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.OptionalLong;
import reactor.core.publisher.Flux;

/** Sends one request to one target. Implementations are thread safe. */
public interface TargetClient {

  /**
   * Sends a request. Cancelling the answer makes the target stop its work.
   *
   * @param target the target, not null
   * @param forward the request, not null
   * @param left the time that the target is given, not null
   * @param lastEventId the event after which a stream goes on, not null
   * @return the head and the pieces of the answer; it fails with an {@link AttemptException}
   */
  Flux<AnswerPart> call(
      Target target, ForwardRequest forward, Duration left, OptionalLong lastEventId);
}
