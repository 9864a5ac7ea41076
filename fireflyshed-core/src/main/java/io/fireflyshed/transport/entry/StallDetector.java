package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.clock.MonotonicClock;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Fails an attempt whose replica sends no chunk in time although the caller requested one. Thread
 * safe.
 *
 * <p>The timeout is shorter for a replica that left the published view, because it may be down.
 */
final class StallDetector {

  private static final String STEP = "stream";
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

  private final StreamSettings settings;
  private final MonotonicClock clock;
  private final BooleanSupplier isOpen;
  private final String peer;
  private long lastActivityNanos;
  private long requestedChunks;
  private boolean hasReceivedChunk;

  StallDetector(
      StreamSettings settings, MonotonicClock clock, BooleanSupplier isOpen, String peer) {
    this.settings = settings;
    this.clock = clock;
    this.isOpen = isOpen;
    this.peer = peer;
    this.lastActivityNanos = clock.nanoTime();
  }

  /** Returns the chunks of an attempt, with an error if the attempt stalls. */
  Flux<StreamChunk> watch(Flux<StreamChunk> chunks) {
    Mono<Long> stall =
        Flux.interval(CHECK_INTERVAL).onBackpressureDrop().filter(tick -> isStalled()).next();
    Flux<StreamChunk> watched =
        chunks.doOnRequest(this::recordRequest).doOnNext(chunk -> recordChunk());
    return StreamUtils.failOn(watched, stall, this::newError);
  }

  private synchronized void recordRequest(long count) {
    if (requestedChunks <= 0) {
      requestedChunks = 0;
      lastActivityNanos = clock.nanoTime();
    }
    requestedChunks =
        requestedChunks > Long.MAX_VALUE - count ? Long.MAX_VALUE : requestedChunks + count;
  }

  private synchronized void recordChunk() {
    hasReceivedChunk = true;
    requestedChunks -= requestedChunks == Long.MAX_VALUE ? 0 : 1;
    lastActivityNanos = clock.nanoTime();
  }

  private synchronized boolean isStalled() {
    Duration timeout =
        !isOpen.getAsBoolean()
            ? settings.closedReplicaTimeout()
            : hasReceivedChunk ? settings.nextTokenTimeout() : settings.firstTokenTimeout();
    return requestedChunks > 0 && clock.nanoTime() - lastActivityNanos > timeout.toNanos();
  }

  private synchronized AttemptException newError() {
    Outcome outcome = hasReceivedChunk ? Outcome.RAN : Outcome.UNKNOWN;
    String message = "the replica sent no token in time";
    return isOpen.getAsBoolean()
        ? new AttemptException(STEP, peer, outcome, message, null)
        : new TargetLostException(STEP, peer, outcome, message, null);
  }
}
