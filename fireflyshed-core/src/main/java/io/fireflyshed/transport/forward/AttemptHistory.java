package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.instance.InstanceId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Records at which targets the attempts of one request may have run it. Not thread safe. */
final class AttemptHistory {

  private final int maxAttempts;
  private final int maxTargets;
  private final Set<InstanceId> triedTargets = new HashSet<>();

  /**
   * The targets that another entry must not try: those that may have run the request, since a
   * second run may end differently, and those that rejected it. Targets that could not be connected
   * are not among them, as the other entry may reach them, nor are those at which a stream may go
   * on.
   */
  private final Set<InstanceId> excludedTargets = new HashSet<>();

  private Outcome outcome = Outcome.NOT_RUN;
  private int possibleRuns;
  private int notRunAttempts;
  private int reachedTargets;

  /**
   * Creates a history without attempts.
   *
   * @param maxAttempts the number of targets that may run the request
   * @param maxTargets the number of targets that may get the request, including those that reject
   *     it
   */
  AttemptHistory(int maxAttempts, int maxTargets) {
    this.maxAttempts = maxAttempts;
    this.maxTargets = maxTargets;
  }

  /** Records targets that must not get the request. */
  void addTried(Set<InstanceId> targets) {
    triedTargets.addAll(targets);
  }

  /** Records that an attempt starts. */
  void onStart(InstanceId target) {
    triedTargets.add(target);
    reachedTargets++;
  }

  /** Records the end of an attempt whose target was not sent the request, and may still get it. */
  void onUnsent(InstanceId target) {
    triedTargets.remove(target);
    reachedTargets--;
  }

  /**
   * Records the end of an attempt of this entry.
   *
   * @param target the target, not null
   * @param attemptOutcome whether the target may have run the request, not null
   * @param isAllowedElsewhere whether another entry may send the request to the target
   */
  void onEnd(InstanceId target, Outcome attemptOutcome, boolean isAllowedElsewhere) {
    outcome = outcome.join(attemptOutcome);
    if (attemptOutcome == Outcome.NOT_RUN) {
      notRunAttempts++;
      reachedTargets -= isAllowedElsewhere ? 1 : 0;
    } else {
      possibleRuns++;
    }
    if (!isAllowedElsewhere) {
      excludedTargets.add(target);
    }
  }

  /**
   * Records the end of an attempt of another entry that may have had the request run.
   *
   * @param attempt the attempt, not null
   * @param attemptOutcome whether a target may have run the request, not null
   */
  void onRelayEnd(OpenAttempt attempt, Outcome attemptOutcome) {
    outcome = outcome.join(attemptOutcome);
    possibleRuns += attempt.getGrantedAttempts();
    RelayedAttempts relayed = attempt.getRelayed();
    addRejecting(relayed);
    List<InstanceId> targets = relayed.getTargets();
    triedTargets.addAll(targets);
    boolean isContinuable = attempt.getStream().getEvents() > 0;
    // The target of a stream whose entry was lost may go on for another entry.
    int kept = isContinuable && !relayed.isEnded() ? 1 : 0;
    excludedTargets.addAll(targets.subList(0, Math.max(0, targets.size() - kept)));
    if (!relayed.areKnown(attempt.getGrantedAttempts()) && !isContinuable) {
      possibleRuns = Math.max(possibleRuns, maxAttempts);
    }
  }

  /** Records the targets that rejected the request of another entry. */
  void addRejecting(RelayedAttempts relayed) {
    triedTargets.addAll(relayed.getRejectingTargets());
    excludedTargets.addAll(relayed.getRejectingTargets());
  }

  Set<InstanceId> getTriedTargets() {
    return triedTargets;
  }

  Set<InstanceId> getExcludedTargets() {
    return excludedTargets;
  }

  /** Returns the targets that another entry must not try, with those of open attempts. */
  Set<InstanceId> getExcludedTargets(List<OpenAttempt> openAttempts) {
    Set<InstanceId> targets = new HashSet<>(excludedTargets);
    for (OpenAttempt attempt : openAttempts) {
      attempt.getTarget().ifPresent(target -> targets.add(target.id()));
      targets.addAll(attempt.getRelayed().getTargets());
      targets.addAll(attempt.getRelayed().getRejectingTargets());
    }
    return targets;
  }

  /** Tests whether an attempt ended that a target may have got, or an entry may have had run. */
  boolean hasEndedAttempts() {
    return possibleRuns + notRunAttempts > 0;
  }

  /** Returns the joined outcome of the attempts that ended. */
  Outcome getOutcome() {
    return outcome;
  }

  /** Tests whether a further target may run the request, once no attempt is open. */
  boolean isRunLeft() {
    return possibleRuns < maxAttempts && reachedTargets < maxTargets;
  }

  /** Returns the number of targets that may have run the request in attempts that ended. */
  int getPossibleRuns() {
    return possibleRuns;
  }

  /** Returns the number of attempts of this entry that no target ran. */
  int getNotRunAttempts() {
    return notRunAttempts;
  }
}
