package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;

/** The outcome of an attempt to append a version to the configuration history. */
public sealed interface CommitOutcome {

  /**
   * The attempt was accepted and stays in the history.
   *
   * @param record the accepted version
   */
  record Accepted(ConfigurationRecord record) implements CommitOutcome {}

  /**
   * Another attempt was accepted at the same version; this one never enters the history.
   *
   * @param winner the version that was accepted instead
   */
  record Conflict(ConfigurationRecord winner) implements CommitOutcome {}

  /**
   * The attempt never enters the history.
   *
   * @param reason the human-readable reason
   */
  record Rejected(String reason) implements CommitOutcome {}

  /**
   * It could not be determined in time whether the attempt was accepted; it may still appear in the
   * history.
   *
   * @param attempt the id of the attempt, to look for in the history
   */
  record Undecided(String attempt) implements CommitOutcome {}
}
