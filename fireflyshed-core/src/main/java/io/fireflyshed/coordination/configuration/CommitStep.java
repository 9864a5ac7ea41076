package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;

/** Names what a {@link ConfigurationCommit} wants done next. */
public sealed interface CommitStep {

  /** Reads the end of the chain. */
  record ReadHead() implements CommitStep {}

  /** Writes the text to the object store. */
  record WriteBody() implements CommitStep {}

  /**
   * Commits a version on the condition that the end of the chain has not moved.
   *
   * @param record the version to commit
   * @param headRowVersion the required version of the head row, 0 if it must not exist
   */
  record Commit(ConfigurationRecord record, long headRowVersion) implements CommitStep {}

  /**
   * Reads one version of the chain.
   *
   * @param version the version
   */
  record ReadVersion(long version) implements CommitStep {}

  /**
   * Ends the attempt.
   *
   * @param outcome how it ended
   */
  record Finish(CommitOutcome outcome) implements CommitStep {}
}
