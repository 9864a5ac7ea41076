package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.state.clock.MonotonicClock;
import java.time.Duration;
import java.util.Optional;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Secures an attempt that may run beside a silent one, until one of them goes on. Until then the
 * silent one is left to its target alone. Thread safe.
 */
final class SuccessorSearch {

  /** The interval between two offers of a request that no entry accepted. */
  static final Duration OFFER_INTERVAL = Duration.ofMillis(250);

  /** The time for which an accepted offer may be used; the other entry waits for a second. */
  private static final Duration MAX_ACCEPTANCE_AGE = Duration.ofMillis(500);

  /** May run beside the silent attempt; the retry budget was charged for it. */
  sealed interface Successor {

    /** Withdraws what was arranged for a successor that doesn't start. */
    default void cancel() {}
  }

  /** An attempt at a target. */
  record ToTarget(Placement.Send placement) implements Successor {}

  /** An attempt through an entry that has accepted the request. */
  record ToEntry(Placement.Refuse reason, AcceptedRelay relay) implements Successor {
    @Override
    public void cancel() {
      relay.cancel();
    }
  }

  /** Decides what may run beside the attempt. Implementations are called under a lock. */
  interface Options {

    /**
     * Tests whether another attempt is allowed: an attempt and time are left, and all targets are
     * known at which another entry may have had the request run.
     */
    boolean isAllowed();

    /** Places the request besides the targets that were tried; it reserves nothing. */
    Placement place();

    /** Does the same after other entries refused it, so that they are not preferred. */
    Placement placeHere();

    /** Tests whether the target of a placement responds, and asks it if that isn't known. */
    boolean isResponsive(Placement.Send placement);

    /** Tests whether another entry may take the request after a refused placement. */
    boolean isRelayable(Placement placement);

    /** Offers the request to other entries. */
    Mono<AcceptedRelay> offer();

    /** Tests whether the retry budget suffices for a successor now. */
    boolean canCharge();

    /** Charges the retry budget for a successor if it suffices. */
    boolean tryCharge();

    /** Is told once why nothing runs beside the attempt yet. */
    void onKept(RetryVerdict verdict);
  }

  private final MonotonicClock clock;
  private final Options options;
  private final long earliestNanos;
  private final Disposable.Swap offer = Disposables.swap();

  /** The entry that accepted the request, for which the retry budget is not charged yet. */
  private Optional<ToEntry> accepted = Optional.empty();

  private Optional<Successor> successor = Optional.empty();
  private boolean isOfferPending;
  private boolean isOffered;
  private long offerNanos;
  private long acceptedNanos;
  private boolean isEnded;
  private boolean isKept;

  /**
   * Creates a search.
   *
   * @param clock the monotonic clock, not null
   * @param options decides what may run beside the attempt, not null
   * @param delay the time in which nothing is looked for, not null
   */
  SuccessorSearch(MonotonicClock clock, Options options, Duration delay) {
    this.clock = clock;
    this.options = options;
    this.earliestNanos = clock.nanoTime() + delay.toNanos();
  }

  /** Tests whether a successor is ready, and looks for one if not. */
  synchronized boolean isSecured() {
    boolean isDue = clock.nanoTime() - earliestNanos >= 0;
    if (isDue && !isEnded && !isOfferPending && successor.isEmpty()) {
      search();
    }
    return successor.isPresent();
  }

  private void search() {
    if (!options.isAllowed()) {
      keep(RetryVerdict.TOO_MANY_ATTEMPTS);
      return;
    }
    if (isRecent(accepted.isPresent(), acceptedNanos, MAX_ACCEPTANCE_AGE)) {
      secure(accepted.orElseThrow());
      return;
    }
    withdraw();
    boolean isRefusedLately = isRecent(isOffered, offerNanos, OFFER_INTERVAL);
    Placement placement = isRefusedLately ? options.placeHere() : options.place();
    if (placement instanceof Placement.Send send) {
      if (options.isResponsive(send)) {
        secure(new ToTarget(send));
      }
    } else if (options.isRelayable(placement) && !isRefusedLately) {
      offerIfAffordable((Placement.Refuse) placement);
    } else {
      keep(RetryVerdict.NO_TARGET);
    }
  }

  private boolean isRecent(boolean hasHappened, long nanos, Duration age) {
    return hasHappened && clock.nanoTime() - nanos < age.toNanos();
  }

  private void secure(Successor found) {
    if (options.tryCharge()) {
      successor = Optional.of(found);
      accepted = Optional.empty();
    } else {
      keep(RetryVerdict.NO_BUDGET);
    }
  }

  private void keep(RetryVerdict verdict) {
    if (!isKept) {
      isKept = true;
      options.onKept(verdict);
    }
  }

  private void offerIfAffordable(Placement.Refuse reason) {
    if (options.canCharge()) {
      offer(reason);
    } else {
      keep(RetryVerdict.NO_BUDGET);
    }
  }

  private void offer(Placement.Refuse reason) {
    isOffered = true;
    isOfferPending = true;
    offerNanos = clock.nanoTime();
    offer.update(options.offer().subscribe(relay -> onAccepted(reason, relay), e -> onRefused()));
  }

  private synchronized void onAccepted(Placement.Refuse reason, AcceptedRelay relay) {
    if (!isOfferPending) {
      relay.cancel();
      return;
    }
    isOfferPending = false;
    accepted = Optional.of(new ToEntry(reason, relay));
    acceptedNanos = clock.nanoTime();
  }

  private synchronized void onRefused() {
    if (isOfferPending) {
      isOfferPending = false;
      keep(RetryVerdict.NO_TARGET);
    }
  }

  /** Withdraws what is offered, as the attempt goes on. */
  synchronized void onProgress() {
    if (successor.isEmpty() && (isOfferPending || accepted.isPresent())) {
      withdraw();
    }
  }

  private void withdraw() {
    isOfferPending = false;
    accepted.ifPresent(Successor::cancel);
    accepted = Optional.empty();
    offer.update(Disposables.disposed());
  }

  /** Ends the search and returns the successor if there is one, and goes on otherwise. */
  synchronized Optional<Successor> takeSecured() {
    return successor.isPresent() ? take() : Optional.empty();
  }

  /** Ends the search and returns the successor, empty if none was secured. */
  synchronized Optional<Successor> take() {
    isEnded = true;
    withdraw();
    Optional<Successor> taken = successor;
    successor = Optional.empty();
    return taken;
  }

  /** Ends the search and withdraws a successor that was not taken. */
  void close() {
    take().ifPresent(Successor::cancel);
  }
}
