package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.state.instance.InstanceId;

/** Knows whether an attempt of a request failed as when the path to its target is cut. */
final class TargetContact {

  private final Reachability reachability;
  private boolean isLost;

  TargetContact(Reachability reachability) {
    this.reachability = reachability;
  }

  /** Tests whether the contact to a target was lost. */
  boolean isLost() {
    return isLost;
  }

  /** Records that an attempt is silent. */
  void onSilent(InstanceId target) {
    isLost = true;
    reachability.onSilent(target);
  }

  /**
   * Records the failure of an attempt.
   *
   * @param hasEvents whether a stream had events before
   */
  void onFailure(InstanceId target, boolean hasEvents, AttemptException error) {
    if (error instanceof TargetLostException) {
      onSilent(target);
    } else if (error instanceof TargetUnreachableException
        || error instanceof ConnectionLostException && !hasEvents) {
      isLost = true;
      reachability.onFailure(target);
    }
  }
}
