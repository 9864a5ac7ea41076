package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.instance.InstanceId;
import java.util.Set;

/**
 * Learns at which targets another entry tries a relayed request. Implementations are thread safe
 * and don't block.
 */
public interface RelayListener {

  /**
   * Records an attempt, before its request is sent. A target that is named again did not run the
   * request, since no target gets it twice.
   *
   * @param target the target, not null
   */
  void onAttempt(InstanceId target);

  /**
   * Records that nothing was sent to a target that was named before, so that other entries may send
   * the request there.
   *
   * @param target the target, not null
   */
  default void onUnreachable(InstanceId target) {
    onAttempt(target);
  }

  /**
   * Returns the targets that the other entry tried and that rejected the request.
   *
   * @return the targets, never null
   */
  default Set<InstanceId> getRejectingTargets() {
    return Set.of();
  }

  /**
   * Records that nothing comes from the other entry, or that it responds again. Its targets may
   * still run the request.
   *
   * @param isSilent whether nothing comes from the other entry
   */
  default void onSilent(boolean isSilent) {}

  /**
   * Records that the other entry makes no more attempts.
   *
   * @param outcome the combined outcome of the attempts, NOT_RUN if no target ran the request, not
   *     null
   */
  void onEnd(Outcome outcome);

  /**
   * Returns a listener that ignores all attempts.
   *
   * @return the listener, never null
   */
  static RelayListener none() {
    return new RelayListener() {
      @Override
      public void onAttempt(InstanceId target) {
        // Nothing depends on the targets.
      }

      @Override
      public void onEnd(Outcome outcome) {
        // Nothing depends on the targets.
      }
    };
  }
}
