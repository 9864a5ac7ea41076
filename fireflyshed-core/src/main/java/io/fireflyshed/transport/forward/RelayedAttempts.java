package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Collects the targets at which other entries tried a relayed request. Thread safe. */
final class RelayedAttempts implements RelayListener {

  private final List<InstanceId> targets = new ArrayList<>();
  private final Sinks.Empty<Void> started = Sinks.empty();
  private final Sinks.Empty<Void> silent = Sinks.empty();
  private boolean isEnded;
  private boolean isSilent;

  @Override
  public void onAttempt(InstanceId target) {
    toggle(target);
    started.tryEmitEmpty();
  }

  private synchronized void toggle(InstanceId target) {
    if (!targets.remove(target)) {
      targets.add(target);
    }
  }

  @Override
  public void onSilent(boolean newSilent) {
    setSilent(newSilent);
    if (newSilent) {
      silent.tryEmitEmpty();
    }
  }

  private synchronized void setSilent(boolean newSilent) {
    isSilent = newSilent;
  }

  private synchronized boolean isSilent() {
    return isSilent;
  }

  /**
   * Returns a signal that emits while nothing comes from the other entry.
   *
   * @param interval the interval in which it emits, not null
   * @return the time since nothing came for the first time, never null
   */
  Flux<Duration> findSilence(Duration interval) {
    return silent
        .asMono()
        .thenMany(Flux.interval(interval).onBackpressureDrop())
        .filter(t -> isSilent())
        .map(t -> interval.multipliedBy(t + 1));
  }

  @Override
  public synchronized void onEnd(Outcome outcome) {
    if (outcome == Outcome.NOT_RUN) {
      targets.clear();
    } else {
      isEnded = true;
    }
  }

  /** Returns a signal that completes with the first attempt of the other entry. */
  Mono<Void> whenStarted() {
    return started.asMono();
  }

  /** Returns the targets that may have run the request, in the order of the attempts. */
  synchronized List<InstanceId> getTargets() {
    return List.copyOf(targets);
  }

  /** Tests whether the other entry said that it makes no more attempts. */
  synchronized boolean isEnded() {
    return isEnded;
  }

  /**
   * Tests whether all targets that may have run the request are known. Entries of earlier versions
   * tell none, and a lost connection may hide the last ones.
   *
   * @param grantedAttempts the number of targets that were allowed to run the request
   */
  synchronized boolean areKnown(int grantedAttempts) {
    return isEnded ? !targets.isEmpty() : targets.size() >= grantedAttempts;
  }
}
