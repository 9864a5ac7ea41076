package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides the steps of one attempt to append a version to the configuration history. Not thread
 * safe.
 *
 * <p>The commit requires an unchanged head row, so at most one of two attempts on the same base
 * version succeeds. If the response to a commit is lost, its version is read back from the history:
 * it belongs to this attempt, belongs to another one, or does not exist yet. In the last case the
 * same commit is sent again; at most one of the two copies can succeed, and both carry the same
 * attempt id.
 *
 * <pre>{@code
 * CommitStep step = commit.start();
 * while (!(step instanceof CommitStep.Finish)) {
 *   step = perform(step, commit); // calls the on... method that matches the response
 * }
 * }</pre>
 */
public final class ConfigurationCommit {

  private final long baseVersion;
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
   * @param record the version to append, whose number is the base version plus one, not null
   * @param maxFailures the number of failed steps to tolerate before giving up, not negative
   * @throws IllegalArgumentException if maxFailures is negative
   */
  public ConfigurationCommit(ConfigurationRecord record, int maxFailures) {
    this.record = Objects.requireNonNull(record, "record");
    this.baseVersion = record.version() - 1;
    if (maxFailures < 0) {
      throw new IllegalArgumentException("maxFailures must not be negative: " + maxFailures);
    }
    this.maxFailures = maxFailures;
  }

  /**
   * Returns the first step.
   *
   * @return the step, never null
   */
  public CommitStep start() {
    return step;
  }

  /**
   * Handles the response to {@link CommitStep.ReadHead}.
   *
   * @param head the head of the history, or empty if no version was ever accepted, not null
   * @return the next step, never null
   */
  public CommitStep onHead(Optional<ConfigurationHead> head) {
    long headVersion = head.map(h -> h.record().version()).orElse(0L);
    if (headVersion == baseVersion) {
      headRowVersion = head.map(ConfigurationHead::rowVersion).orElse(0L);
      return advance(isBodyWritten ? newCommit() : new CommitStep.WriteBody());
    }
    if (headVersion < baseVersion) {
      return finish(new CommitOutcome.Rejected("version " + baseVersion + " was never accepted"));
    }
    return advance(new CommitStep.ReadVersion(record.version()));
  }

  /**
   * Handles the response to {@link CommitStep.WriteBody}.
   *
   * @return the next step, never null
   */
  public CommitStep onBodyWritten() {
    isBodyWritten = true;
    return advance(newCommit());
  }

  /**
   * Handles the response to {@link CommitStep.Commit}.
   *
   * @param isCommitted whether the transaction was applied
   * @return the next step, never null
   */
  public CommitStep onCommitAnswer(boolean isCommitted) {
    if (isCommitted) {
      return finish(new CommitOutcome.Accepted(record));
    }
    return advance(new CommitStep.ReadVersion(record.version()));
  }

  /**
   * Handles the response to {@link CommitStep.ReadVersion}.
   *
   * @param found the version in the history, or empty if it does not exist yet, not null
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
   * Handles the failure of the current step.
   *
   * @param isEffectPossible whether the step may have taken effect despite the failure
   * @return the next step, never null
   */
  public CommitStep onFailure(boolean isEffectPossible) {
    if (step instanceof CommitStep.Commit && isEffectPossible) {
      mayHaveCommitted = true;
      return retry(new CommitStep.ReadVersion(record.version()));
    }
    return retry(step);
  }

  private CommitStep retry(CommitStep nextStep) {
    failures++;
    if (failures <= maxFailures) {
      return advance(nextStep);
    }
    return finish(
        mayHaveCommitted
            ? new CommitOutcome.Undecided(record.attempt())
            : new CommitOutcome.Rejected("the table service or the object store did not respond"));
  }

  private CommitStep.Commit newCommit() {
    return new CommitStep.Commit(record, headRowVersion);
  }

  private CommitStep finish(CommitOutcome outcome) {
    return advance(new CommitStep.Finish(outcome));
  }

  private CommitStep advance(CommitStep nextStep) {
    step = nextStep;
    return nextStep;
  }
}
