package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import reactor.core.publisher.Mono;

/**
 * Finds out whether a target responds before a request is sent to it. A target that is suspended
 * accepts connections and what is sent on them, and reads it once it goes on, when another target
 * may have run the request. Implementations are thread safe.
 */
public interface TargetValidator {

  /**
   * Waits for a sign of life of a target unless there was one lately.
   *
   * @param target the target, not null
   * @param maxWait the longest wait, not null
   * @return completes if a request may be sent; it fails with a {@link TargetSilentException} if
   *     there was no sign of life in time
   */
  Mono<Void> validate(Target target, Duration maxWait);

  /**
   * Tests whether there was a sign of life of a target lately, and asks for one if not.
   *
   * @param target the target, not null
   * @return whether a request may be sent without much of a wait
   */
  boolean isResponsive(Target target);

  /**
   * Asks some of the targets for a sign of life that aren't asked yet.
   *
   * @param targets the targets, not null
   */
  void ask(Collection<Target> targets);

  /**
   * Tests whether a target that could get a request was found silent and may go on soon.
   *
   * @param targets the targets, not null
   * @return whether {@link #awaitSign} is worthwhile
   */
  boolean isAnySilent(Collection<Target> targets);

  /**
   * Waits for a sign of life of one of some targets. Few waits end at each sign, in their order.
   *
   * @param targets the targets, not null
   * @return completes when a target goes on, or at once if none of them is silent
   */
  Mono<Void> awaitSign(Collection<Target> targets);

  /**
   * Selects a target that may serve requests without answering health checks. The next request is
   * sent to it without one. Called if all targets are silent.
   *
   * @param targets the targets, not null
   * @return the target, empty if none has been silent for long or one was selected lately
   */
  Optional<Target> takeTrial(Collection<Target> targets);

  /**
   * Records that a target sent something.
   *
   * @param target the target, not null
   * @param sign what it sent, not null
   */
  void onSignOfLife(InstanceId target, LifeSign sign);

  /**
   * Records that an attempt at a target broke off or was given up, so that a request that waits may
   * take its place.
   *
   * @param target the target, not null
   */
  void onBroken(InstanceId target);

  /**
   * Takes over the list of targets, and removes what is known of others.
   *
   * @param listed the targets that still exist, not null
   */
  void onListed(Set<InstanceId> listed);

  /**
   * Returns an implementation that takes every target for responsive.
   *
   * @return the implementation, never null
   */
  static TargetValidator none() {
    return new TargetValidator() {
      @Override
      public Mono<Void> validate(Target target, Duration maxWait) {
        return Mono.empty();
      }

      @Override
      public boolean isResponsive(Target target) {
        return true;
      }

      @Override
      public void ask(Collection<Target> targets) {
        // All targets count as responsive.
      }

      @Override
      public boolean isAnySilent(Collection<Target> targets) {
        return false;
      }

      @Override
      public Mono<Void> awaitSign(Collection<Target> targets) {
        return Mono.empty();
      }

      @Override
      public Optional<Target> takeTrial(Collection<Target> targets) {
        return Optional.empty();
      }

      @Override
      public void onBroken(InstanceId target) {
        // No request waits.
      }

      @Override
      public void onSignOfLife(InstanceId target, LifeSign sign) {
        // Nothing is known of targets.
      }

      @Override
      public void onListed(Set<InstanceId> listed) {
        // Nothing is known of targets.
      }
    };
  }
}
