package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.instance.InstanceId;
import java.util.ArrayList;
import java.util.List;

/** Collects the targets at which other entries tried a relayed request. Thread safe. */
final class RelayedAttempts implements RelayListener {

  private final List<InstanceId> targets = new ArrayList<>();
  private boolean isEnded;

  @Override
  public synchronized void onAttempt(InstanceId target) {
    if (!targets.remove(target)) {
      targets.add(target);
    }
  }

  @Override
  public synchronized void onEnd(Outcome outcome) {
    if (outcome == Outcome.NOT_RUN) {
      targets.clear();
    } else {
      isEnded = true;
    }
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
