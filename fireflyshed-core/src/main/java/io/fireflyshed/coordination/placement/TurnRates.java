package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.util.Optional;

/**
 * Knows the rates of targets that all entries use in turns for another reason than a limit that the
 * target stated. Implementations are thread safe.
 */
public interface TurnRates {

  /**
   * Gets the rate of a target at this moment.
   *
   * @param target the target, not null
   * @return the rate, empty if requests may be sent at any time, never null
   */
  Optional<TurnRate> get(Target target);

  /** Records that a turn was used. */
  void onTurnUsed();

  /**
   * Records that a target was silent or couldn't be reached, after which it may have restarted.
   *
   * @param target the target, not null
   */
  void onContactLost(InstanceId target);

  /**
   * Creates rates without any target.
   *
   * @return the rates, never null
   */
  static TurnRates none() {
    return new TurnRates() {
      @Override
      public Optional<TurnRate> get(Target target) {
        return Optional.empty();
      }

      @Override
      public void onTurnUsed() {}

      @Override
      public void onContactLost(InstanceId target) {}
    };
  }
}
