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
 * Breaks an attempt that sends nothing although its caller waits. Thread safe.
 *
 * <p>A replica that left the published view gets less time, because it may have died.
 */
final class StallWatch {

  private static final String STEP = "stream";
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

  private final StreamSettings settings;
  private final MonotonicClock clock;
  private final BooleanSupplier isOpen;
  private final String peer;
  private long lastNanos;
  private long wanted;
  private boolean isStarted;

  StallWatch(StreamSettings settings, MonotonicClock clock, BooleanSupplier isOpen, String peer) {
    this.settings = settings;
    this.clock = clock;
    this.isOpen = isOpen;
    this.peer = peer;
    this.lastNanos = clock.nanoTime();
  }

  /** Adds the watch to the chunks of an attempt. */
  Flux<StreamChunk> watch(Flux<StreamChunk> chunks) {
    Mono<Long> stalled =
        Flux.interval(CHECK_INTERVAL).onBackpressureDrop().filter(tick -> isStalled()).next();
    Flux<StreamChunk> watched = chunks.doOnRequest(this::onRequest).doOnNext(chunk -> onChunk());
    return StreamUtils.failOn(watched, stalled, this::newError);
  }

  private synchronized void onRequest(long count) {
    if (wanted <= 0) {
      wanted = 0;
      lastNanos = clock.nanoTime();
    }
    wanted = wanted > Long.MAX_VALUE - count ? Long.MAX_VALUE : wanted + count;
  }

  private synchronized void onChunk() {
    isStarted = true;
    wanted -= wanted == Long.MAX_VALUE ? 0 : 1;
    lastNanos = clock.nanoTime();
  }

  private synchronized boolean isStalled() {
    Duration limit =
        !isOpen.getAsBoolean()
            ? settings.closedStall()
            : isStarted ? settings.stall() : settings.firstStall();
    return wanted > 0 && clock.nanoTime() - lastNanos > limit.toNanos();
  }

  private synchronized AttemptException newError() {
    Outcome outcome = isStarted ? Outcome.RAN : Outcome.UNKNOWN;
    String message = "the replica sends nothing";
    return isOpen.getAsBoolean()
        ? new AttemptException(STEP, peer, outcome, message, null)
        : new TargetLostException(STEP, peer, outcome, message, null);
  }
}
