package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides the steps of one attempt to append a version to the chain. Not thread safe.
 *
 * <p>The commit is conditioned on the head row, so of two attempts from the same version at most
 * one succeeds. A commit whose answer was lost is settled by reading its place in the chain back:
 * the place holds this attempt, or another one, or nothing yet. In the last case the same commit is
 * sent again; at most one of the two copies can succeed, and both carry the same attempt.
 *
 * <pre>{@code
 * CommitStep step = commit.start();
 * while (!(step instanceof CommitStep.Finish)) {
 *   step = perform(step, commit); // calls the on... method for the answer
 * }
 * }</pre>
 */
public final class ConfigurationCommit {

  private final long base;
  private final ConfigurationRecord record;
  private final int maxFailures;

  private CommitStep step = new CommitStep.ReadHead();
  private long headRowVersion;
  private boolean isBodyWritten;
  private boolean mayHaveCommitted;
  private int failures;

  /**
   * Creates an attempt.
   *
   * @param record the version to append, not null; it follows the version it was made from
   * @param maxFailures how many failed steps to bear before giving up, not negative
   */
  public ConfigurationCommit(ConfigurationRecord record, int maxFailures) {
    this.record = Objects.requireNonNull(record, "record");
    this.base = record.version() - 1;
    if (maxFailures < 0) {
      throw new IllegalArgumentException("maxFailures must not be negative: " + maxFailures);
    }
    this.maxFailures = maxFailures;
  }

  /**
   * Gets the first step.
   *
   * @return the step, never null
   */
  public CommitStep start() {
    return step;
  }

  /**
   * Takes the answer to {@link CommitStep.ReadHead}.
   *
   * @param head the end of the chain, or empty if nothing was ever accepted, not null
   * @return the next step, never null
   */
  public CommitStep onHead(Optional<ConfigurationHead> head) {
    long current = head.map(h -> h.record().version()).orElse(0L);
    if (current == base) {
      headRowVersion = head.map(ConfigurationHead::rowVersion).orElse(0L);
      return next(isBodyWritten ? newCommit() : new CommitStep.WriteBody());
    }
    if (current < base) {
      return finish(new CommitOutcome.Rejected("version " + base + " was never accepted"));
    }
    return next(new CommitStep.ReadVersion(record.version()));
  }

  /**
   * Takes the answer to {@link CommitStep.WriteBody}.
   *
   * @return the next step, never null
   */
  public CommitStep onBodyWritten() {
    isBodyWritten = true;
    return next(newCommit());
  }

  /**
   * Takes the answer to {@link CommitStep.Commit}.
   *
   * @param isCommitted whether the transaction was applied
   * @return the next step, never null
   */
  public CommitStep onCommitAnswer(boolean isCommitted) {
    if (isCommitted) {
      return finish(new CommitOutcome.Accepted(record));
    }
    return next(new CommitStep.ReadVersion(record.version()));
  }

  /**
   * Takes the answer to {@link CommitStep.ReadVersion}.
   *
   * @param found the version in the chain, or empty if there is none yet, not null
   * @return the next step, never null
   */
  public CommitStep onVersion(Optional<ConfigurationRecord> found) {
    if (found.isEmpty()) {
      return retry(new CommitStep.ReadHead());
    }
    boolean isOwn = found.get().attempt().equals(record.attempt());
    return finish(
        isOwn ? new CommitOutcome.Accepted(found.get()) : new CommitOutcome.Conflict(found.get()));
  }

  /**
   * Takes the failure of the current step.
   *
   * @param isEffectPossible whether the step may have taken effect all the same
   * @return the next step, never null
   */
  public CommitStep onFailure(boolean isEffectPossible) {
    if (step instanceof CommitStep.Commit && isEffectPossible) {
      mayHaveCommitted = true;
      return retry(new CommitStep.ReadVersion(record.version()));
    }
    return retry(step);
  }

  private CommitStep retry(CommitStep wanted) {
    failures++;
    if (failures <= maxFailures) {
      return next(wanted);
    }
    return finish(
        mayHaveCommitted
            ? new CommitOutcome.Undecided(record.attempt())
            : new CommitOutcome.Rejected("the stores did not answer"));
  }

  private CommitStep.Commit newCommit() {
    return new CommitStep.Commit(record, headRowVersion);
  }

  private CommitStep finish(CommitOutcome outcome) {
    return next(new CommitStep.Finish(outcome));
  }

  private CommitStep next(CommitStep wanted) {
    step = wanted;
    return wanted;
  }
}
