package io.fireflyshed.transport.forward;

import io.fireflyshed.state.instance.InstanceId;

/**
 * Learns from attempts whether this entry as a whole has lost its targets. Implementations are
 * thread safe and don't block.
 */
public interface Reachability {

  /**
   * Records that no connection to a target could be established, or that it was lost.
   *
   * @param target the target, not null
   */
  void onFailure(InstanceId target);

  /**
   * Records that a target is silent, which may be its own fault, too.
   *
   * @param target the target, not null
   */
  void onSilent(InstanceId target);

  /** Records that any target sent something. */
  void onSignOfLife();

  /**
   * Tests whether the entry reaches no target.
   *
   * @return true while requests should not be sent to targets
   */
  boolean isIsolated();

  /**
   * Tests whether new connections to targets probably fail.
   *
   * @return true while requests of other entries should not be accepted
   */
  boolean isImpaired();

  /**
   * Returns an implementation for an entry that never counts as isolated or impaired.
   *
   * @return the implementation, never null
   */
  static Reachability always() {
    return new Reachability() {
      @Override
      public void onFailure(InstanceId target) {
        // A single entry has no way around its own connection.
      }

      @Override
      public void onSilent(InstanceId target) {
        // A single entry has no way around its own connection.
      }

      @Override
      public void onSignOfLife() {
        // There is no isolation to end.
      }

      @Override
      public boolean isIsolated() {
        return false;
      }

      @Override
      public boolean isImpaired() {
        return false;
      }
    };
  }
}
