package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Collects the targets at which other entries tried a relayed request. Thread safe. */
final class RelayedAttempts implements RelayListener {

  private final List<InstanceId> targets = new ArrayList<>();
  private final Set<InstanceId> rejectingTargets = new HashSet<>();

  /** Emits the number of entries that began to make attempts, the last one to late subscribers. */
  private final Sinks.Many<Integer> entryStarts = Sinks.many().replay().latest();

  private final Sinks.Empty<Void> silent = Sinks.empty();
  private boolean isEnded;
  private boolean isSilent;
  private boolean isEntryStarted;
  private boolean hasSuccessor;

  /** The number of targets that rejected the request of the entry that has it now. */
  private int rejections;

  private int entries;

  @Override
  public synchronized void onAttempt(InstanceId target) {
    if (targets.remove(target)) {
      rejectingTargets.add(target);
      rejections++;
    } else {
      targets.add(target);
    }
    if (!isEntryStarted) {
      isEntryStarted = true;
      entryStarts.tryEmitNext(++entries);
    }
  }

  @Override
  public synchronized void onUnreachable(InstanceId target) {
    targets.remove(target);
  }

  @Override
  public synchronized Set<InstanceId> getRejectingTargets() {
    return Set.copyOf(rejectingTargets);
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
   * @return the time since the other entry was first found silent, never null
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
      rejectingTargets.addAll(targets);
      targets.clear();
      rejections = 0;
      isEntryStarted = false;
    } else {
      isEnded = true;
    }
  }

  /**
   * Returns a signal that emits again and again after a time since the first attempt of the other
   * entry, or of the last one if the request was offered on.
   *
   * @param timeout the time until it emits, not null
   * @param interval the interval in which it emits after that, not null
   * @return the timeout, never null
   */
  Flux<Duration> findLateness(Duration timeout, Duration interval) {
    return entryStarts
        .asFlux()
        .switchMap(entry -> Flux.interval(timeout, interval).onBackpressureDrop())
        .map(t -> timeout);
  }

  /** Returns the targets that may have run the request, in the order of the attempts. */
  synchronized List<InstanceId> getTargets() {
    return List.copyOf(targets);
  }

  /**
   * Records that another attempt starts beside the relay, unless a target may run the request that
   * isn't known.
   *
   * @param grantedAttempts the number of targets that were allowed to run the request
   * @return whether the attempt may start
   */
  synchronized boolean tryAddSuccessor(int grantedAttempts) {
    hasSuccessor |= areKnown(grantedAttempts);
    return areKnown(grantedAttempts);
  }

  /**
   * Tests whether the request may be offered to a further entry, which would not know the target of
   * an attempt beside the relay.
   */
  synchronized boolean isOfferable() {
    return !hasSuccessor;
  }

  /** Tests whether the other entry said that it makes no more attempts. */
  synchronized boolean isEnded() {
    return isEnded;
  }

  /**
   * Tests whether all targets that may have run the request are known. Entries of earlier versions
   * tell none, and a lost connection may hide the last ones.
   *
   * @param grantedAttempts the number of targets that were allowed to get the request
   */
  synchronized boolean areKnown(int grantedAttempts) {
    return isEnded ? !targets.isEmpty() : targets.size() + rejections >= grantedAttempts;
  }
}
