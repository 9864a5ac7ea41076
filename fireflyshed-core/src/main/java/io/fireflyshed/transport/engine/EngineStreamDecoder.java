package io.fireflyshed.transport.engine;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.completion.SseEvent;
import io.fireflyshed.protocol.engine.StreamEvent;
import reactor.core.publisher.Flux;

/**
 * Checks that the events of one attempt come in the order of their offsets and end explicitly.
 *
 * <p>Not thread safe; belongs to one attempt.
 */
final class EngineStreamDecoder {

  private static final String STEP = "stream";
  private static final String ERROR_EVENT = "error";

  private final String peer;
  private long nextOffset;
  private boolean isEnded;

  EngineStreamDecoder(String peer, long offset) {
    this.peer = peer;
    this.nextOffset = offset;
  }

  /** Converts an event and checks its offset. */
  StreamEvent toEvent(SseEvent event) {
    if (event.isDone()) {
      isEnded = true;
      return StreamEvent.ofEnd(nextOffset);
    }
    if (ERROR_EVENT.equals(event.name())) {
      throw newError("the engine ended the stream with an error: " + event.data());
    }
    if (!String.valueOf(nextOffset).equals(event.id())) {
      throw newError("expected offset " + nextOffset + " but got " + event.id());
    }
    return new StreamEvent(nextOffset++, event.data(), false);
  }

  /** Fails if the body ended without the end event. */
  Flux<StreamEvent> checkEnd() {
    return isEnded ? Flux.empty() : Flux.error(newError("the stream ended without its end event"));
  }

  private AttemptException newError(String message) {
    return new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null);
  }
}
