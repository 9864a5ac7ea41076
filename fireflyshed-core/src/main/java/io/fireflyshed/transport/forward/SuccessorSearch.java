package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.Placement;
import java.util.Optional;

/**
 * Secures what follows a silent attempt before the attempt is given up. Until then it is left to
 * its target, which may still go on. Thread safe.
 */
final class SuccessorSearch {

  /** Decides what may follow the attempt. Implementations are called under a lock. */
  interface Options {

    /** Tests whether the attempt may be replaced at all. */
    boolean isAllowed();

    /** Places the request besides the targets that were tried; it reserves nothing. */
    Placement place();

    /** Tests whether another entry may take the request after a refused placement. */
    boolean isRelayable(Placement placement);

    /** Charges the retry budget for a successor if it suffices. */
    boolean tryCharge();

    /** Is told once why the attempt is not given up yet. */
    void onKept(RetryVerdict verdict);
  }

  private final Options options;
  private Optional<Placement> successor = Optional.empty();
  private boolean isEnded;
  private boolean isKept;

  SuccessorSearch(Options options) {
    this.options = options;
  }

  /** Tests whether a successor is ready to take over, and looks for one if not. */
  synchronized boolean isSecured() {
    if (!isEnded && successor.isEmpty()) {
      search();
    }
    return successor.isPresent();
  }

  private void search() {
    if (!options.isAllowed()) {
      keep(RetryVerdict.TOO_MANY_ATTEMPTS);
      return;
    }
    Placement placement = options.place();
    if (placement instanceof Placement.Refuse && !options.isRelayable(placement)) {
      keep(RetryVerdict.NO_TARGET);
    } else if (options.tryCharge()) {
      successor = Optional.of(placement);
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

  /** Ends the search and returns the successor, empty if none was secured. */
  synchronized Optional<Placement> take() {
    isEnded = true;
    Optional<Placement> taken = successor;
    successor = Optional.empty();
    return taken;
  }
}
