package io.fireflyshed.transport.entry;

import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.clock.MonotonicClock;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Flux;

/**
 * Finds out whether the replica of an attempt sends no chunk in time although the caller requested
 * one. Thread safe.
 *
 * <p>The timeout is shorter for a replica that left the published view, because it may be down.
 */
final class StallDetector {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

  private final StreamSettings settings;
  private final MonotonicClock clock;
  private final BooleanSupplier isOpen;
  private long lastActivityNanos;
  private long requestedChunks;
  private boolean hasReceivedChunk;

  StallDetector(StreamSettings settings, MonotonicClock clock, BooleanSupplier isOpen) {
    this.settings = settings;
    this.clock = clock;
    this.isOpen = isOpen;
    this.lastActivityNanos = clock.nanoTime();
  }

  /** Returns the chunks of an attempt, which are watched. */
  Flux<StreamChunk> watch(Flux<StreamChunk> chunks) {
    return chunks.doOnRequest(this::recordRequest).doOnNext(chunk -> recordChunk());
  }

  /** Returns a signal that emits at each check while the attempt stalls. */
  Flux<Long> findStalls() {
    return Flux.interval(CHECK_INTERVAL).onBackpressureDrop().filter(tick -> isStalled());
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

  /** Tests whether a chunk is due. */
  synchronized boolean isStalled() {
    Duration timeout =
        !isOpen.getAsBoolean()
            ? settings.closedReplicaTimeout()
            : hasReceivedChunk ? settings.nextTokenTimeout() : settings.firstTokenTimeout();
    return requestedChunks > 0 && clock.nanoTime() - lastActivityNanos > timeout.toNanos();
  }

  /** Tests whether the replica sent a chunk, and so runs the request. */
  synchronized boolean hasReceivedChunk() {
    return hasReceivedChunk;
  }
}
