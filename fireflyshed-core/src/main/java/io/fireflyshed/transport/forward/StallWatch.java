package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;

/**
 * Periodically finds silent and stalled targets and the streams that may be resumed elsewhere.
 * Thread safe.
 */
final class StallWatch {

  /** Is told of targets that don't respond. */
  interface Listener {

    /**
     * Handles a target whose streams have no events for a moment.
     *
     * @param target the target, not null
     * @param isNew whether the target wasn't silent at the check before
     */
    void onSilent(InstanceId target, boolean isNew);

    /**
     * Handles a target whose streams have all stalled.
     *
     * @param target the target, not null
     * @param isNew whether the target wasn't stalled at the check before
     */
    void onStalled(InstanceId target, boolean isNew);
  }

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private final StallDetector detector;
  private final MonotonicClock clock;
  private final Listener listener;
  private final EventLog log = new EventLog("forward");

  /** Are told at each check for how long their stream has had no event. */
  private final Map<Object, Consumer<Duration>> stallListeners = new ConcurrentHashMap<>();

  private final Map<Object, CallerLink> callers = new ConcurrentHashMap<>();
  private Disposable checking = Disposables.disposed();
  private Set<InstanceId> silentTargets = Set.of();
  private Set<InstanceId> stalledTargets = Set.of();

  StallWatch(StallDetector detector, MonotonicClock clock, Listener listener) {
    this.detector = detector;
    this.clock = clock;
    this.listener = listener;
  }

  void start() {
    checking =
        Flux.interval(CHECK_INTERVAL)
            .onBackpressureDrop()
            .subscribe(
                tick -> check(),
                e ->
                    log.error("stall check terminated; stalled streams are no longer detected", e));
  }

  void stop() {
    checking.dispose();
  }

  private void check() {
    try {
      checkStreams();
    } catch (RuntimeException e) {
      // The next check must take place, or stalled streams would never end.
      log.error("stall check failed", e);
    }
  }

  private void checkStreams() {
    long now = clock.nanoTime();
    callers.forEach(
        (key, caller) -> {
          if (caller.isBlocked()) {
            detector.onUnread(key, now);
          }
        });
    Set<InstanceId> silent = detector.findSilentTargets(now);
    for (InstanceId target : silent) {
      boolean isNew = !silentTargets.contains(target);
      listener.onSilent(target, isNew);
      if (isNew) {
        log.info("target is silent", "target", target);
      }
    }
    silentTargets = silent;
    reportStalledStreams(now);
  }

  private void reportStalledStreams(long now) {
    Set<InstanceId> stalled = new HashSet<>();
    for (StallDetector.Stall stall : detector.findStalls(now)) {
      if (stall.isTargetStalled() && stalled.add(stall.target())) {
        boolean isNew = !stalledTargets.contains(stall.target());
        listener.onStalled(stall.target(), isNew);
        if (isNew) {
          log.warn("target stands still", "target", stall.target());
        }
      }
      Consumer<Duration> stallListener = stallListeners.get(stall.key());
      if (stallListener != null) {
        stallListener.accept(detector.getSilence(stall.key(), now));
      }
    }
    stalledTargets = stalled;
  }

  /**
   * Tracks a stream while it is subscribed to. A stream whose caller doesn't read does not stall.
   *
   * @param stallListener is told the time since the last event at each check while the stream
   *     stalls; called on the thread of the checks
   */
  <T> Flux<T> watch(
      Object key,
      InstanceId target,
      Flux<T> stream,
      CallerLink caller,
      Consumer<Duration> stallListener) {
    return stream
        .doOnSubscribe(
            s -> {
              stallListeners.put(key, stallListener);
              callers.put(key, caller);
              detector.start(key, target, clock.nanoTime());
            })
        .doFinally(
            signal -> {
              stallListeners.remove(key);
              callers.remove(key);
              detector.end(key);
            });
  }

  /** Records an event; returns the time since the one before, or -1 if there was none. */
  long onEvent(Object key) {
    return detector.onEvent(key, clock.nanoTime());
  }

  /** Records an event that a stream had before, so that its target isn't silent. */
  void onRepeatedEvent(Object key) {
    detector.onRepeatedEvent(key, clock.nanoTime());
  }
}
