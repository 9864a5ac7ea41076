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
 * Checks that the events of one attempt come in the order of their offsets and end explicitly.
 *
 * <p>Not thread safe; belongs to one attempt.
 */
final class EngineStreamDecoder {

  private static final String STEP = "stream";
  private static final String ERROR_EVENT = "error";

  private final SseDecoder decoder = new SseDecoder();
  private final String peer;
  private final long startOffset;
  private final Sinks.Empty<Void> endSignal = Sinks.empty();
  private long nextOffset;
  private StreamChunk end;

  EngineStreamDecoder(String peer, long offset) {
    this.peer = peer;
    this.startOffset = offset;
    this.nextOffset = offset;
  }

  /**
   * Converts bytes to a chunk; the events before a wrong one are passed on before the error.
   *
   * <p>Bytes that hold whole events, all of them wanted, are passed on as they are. The end event
   * is kept until the body has ended, so that the connection can be used again.
   */
  void decode(byte[] bytes, SynchronousSink<StreamChunk> sink) {
    boolean isWhole = decoder.isBetweenEvents();
    List<SseEvent> events = decoder.decode(bytes);
    isWhole &= decoder.isBetweenEvents();
    List<SseEvent> wanted = new ArrayList<>(events.size());
    long first = nextOffset;
    String error = null;
    for (SseEvent event : events) {
      if (isEnded()) {
        break;
      }
      if (event.isDone()) {
        end = new StreamChunk(nextOffset, 0, encode(List.of(event)), true);
        endSignal.tryEmitEmpty();
        break;
      }
      error = check(event);
      if (error != null) {
        break;
      }
      if (isRepeated(event)) {
        continue;
      }
      wanted.add(event);
      nextOffset++;
    }
    if (!wanted.isEmpty()) {
      isWhole &= wanted.size() == events.size();
      ByteBuffer frames = isWhole ? ByteBuffer.wrap(bytes) : encode(wanted);
      sink.next(new StreamChunk(first, (int) (nextOffset - first), frames, false));
    }
    if (error != null) {
      sink.error(newError(error));
    }
  }

  /** Completes when the end event has come. */
  Mono<Void> awaitEnd() {
    return endSignal.asMono();
  }

  /** Gets the end event, or fails if the body ended without it. */
  Flux<StreamChunk> getEnd() {
    return isEnded()
        ? Flux.just(end)
        : Flux.error(newLost("the stream ended without its end event"));
  }

  private boolean isEnded() {
    return end != null;
  }

  private static ByteBuffer encode(List<SseEvent> events) {
    SseEncoder encoder = new SseEncoder();
    events.forEach(encoder::append);
    return encoder.toBytes();
  }

  private String check(SseEvent event) {
    if (ERROR_EVENT.equals(event.name())) {
      return "the engine ended the stream with an error: " + event.getText();
    }
    if (event.id() != nextOffset && !isRepeated(event)) {
      return "expected offset " + nextOffset + " but got " + event.id();
    }
    return null;
  }

  /** Tests whether this attempt sent the event before. */
  private boolean isRepeated(SseEvent event) {
    return event.id() >= startOffset && event.id() < nextOffset;
  }

  private TargetLostException newLost(String message) {
    return new TargetLostException(STEP, peer, newError(message).getOutcome(), message, null);
  }

  private AttemptException newError(String message) {
    Outcome outcome = nextOffset > startOffset ? Outcome.RAN : Outcome.UNKNOWN;
    return new AttemptException(STEP, peer, outcome, message, null);
  }
}
