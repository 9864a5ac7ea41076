package io.fireflyshed.transport.engine;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.protocol.completion.SseDecoder;
import io.fireflyshed.protocol.completion.SseEncoder;
import io.fireflyshed.protocol.completion.SseEvent;
import io.fireflyshed.protocol.engine.StreamChunk;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.publisher.SynchronousSink;

/**
 * Decodes the event stream of one attempt, and checks that the events arrive in the order of their
 * offsets and that the stream ends with an end event.
 *
 * <p>Not thread safe; each attempt needs a decoder of its own.
 */
final class EngineStreamDecoder {

  private static final String STEP = "stream";
  private static final String ERROR_EVENT = "error";

  private final SseDecoder decoder = new SseDecoder();
  private final String peer;
  private final long startOffset;
  private final Sinks.Empty<Void> endSignal = Sinks.empty();
  private long nextOffset;
  private StreamChunk endChunk;

  EngineStreamDecoder(String peer, long offset) {
    this.peer = peer;
    this.startOffset = offset;
    this.nextOffset = offset;
  }

  /**
   * Converts bytes to a chunk. If an event is invalid, emits the events before it and then an
   * error.
   *
   * <p>Bytes that consist of complete events without duplicates are passed on unchanged. The end
   * event is held back until the body has ended, so that the connection can be reused.
   */
  void decode(byte[] bytes, SynchronousSink<StreamChunk> sink) {
    boolean canPassThrough = decoder.isBetweenEvents();
    List<SseEvent> events = decoder.decode(bytes);
    canPassThrough &= decoder.isBetweenEvents();
    List<SseEvent> accepted = new ArrayList<>(events.size());
    long firstOffset = nextOffset;
    String error = null;
    for (SseEvent event : events) {
      if (isEnded()) {
        break;
      }
      if (event.isDone()) {
        endChunk = new StreamChunk(nextOffset, 0, encode(List.of(event)), true);
        endSignal.tryEmitEmpty();
        break;
      }
      error = findError(event);
      if (error != null) {
        break;
      }
      if (isDuplicate(event)) {
        continue;
      }
      accepted.add(event);
      nextOffset++;
    }
    if (!accepted.isEmpty()) {
      canPassThrough &= accepted.size() == events.size();
      ByteBuffer frames = canPassThrough ? ByteBuffer.wrap(bytes) : encode(accepted);
      sink.next(new StreamChunk(firstOffset, (int) (nextOffset - firstOffset), frames, false));
    }
    if (error != null) {
      sink.error(newError(error));
    }
  }

  /** Returns a signal that completes when the end event has arrived. */
  Mono<Void> awaitEnd() {
    return endSignal.asMono();
  }

  /** Returns the end event, or an error if the body ended without it. */
  Flux<StreamChunk> getEnd() {
    return isEnded()
        ? Flux.just(endChunk)
        : Flux.error(newTargetLostError("the stream ended without its end event"));
  }

  private boolean isEnded() {
    return endChunk != null;
  }

  private static ByteBuffer encode(List<SseEvent> events) {
    SseEncoder encoder = new SseEncoder();
    events.forEach(encoder::append);
    return encoder.toBytes();
  }

  /** Returns what is wrong with an event, or null if it is valid. */
  private String findError(SseEvent event) {
    if (ERROR_EVENT.equals(event.name())) {
      return "the engine ended the stream with an error: " + event.getText();
    }
    if (event.id() != nextOffset && !isDuplicate(event)) {
      return "expected an event at offset " + nextOffset + " but received offset " + event.id();
    }
    return null;
  }

  /** Tests whether this attempt has already sent an event with the same offset. */
  private boolean isDuplicate(SseEvent event) {
    return event.id() >= startOffset && event.id() < nextOffset;
  }

  private TargetLostException newTargetLostError(String message) {
    return new TargetLostException(STEP, peer, newError(message).getOutcome(), message, null);
  }

  private AttemptException newError(String message) {
    Outcome outcome = nextOffset > startOffset ? Outcome.RAN : Outcome.UNKNOWN;
    return new AttemptException(STEP, peer, outcome, message, null);
  }
}
