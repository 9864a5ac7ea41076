package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;

/** The next operation that a {@link ConfigurationCommit} requests. */
public sealed interface CommitStep {

  /** Reads the head of the configuration history. */
  record ReadHead() implements CommitStep {}

  /** Writes the text of the configuration to the object store. */
  record WriteBody() implements CommitStep {}

  /**
   * Commits a version, provided that the head row has not changed.
   *
   * @param record the version to commit
   * @param headRowVersion the required version of the head row, 0 if the row must not exist
   */
  record Commit(ConfigurationRecord record, long headRowVersion) implements CommitStep {}

  /**
   * Reads one version of the history.
   *
   * @param version the number of the version
   */
  record ReadVersion(long version) implements CommitStep {}

  /**
   * Ends the attempt.
   *
   * @param outcome the outcome of the attempt
   */
  record Finish(CommitOutcome outcome) implements CommitStep {}
}
