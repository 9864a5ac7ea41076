package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;

/** Tells how an attempt to have a configuration accepted ended. */
public sealed interface CommitOutcome {

  /**
   * The attempt is in the chain for good.
   *
   * @param record the accepted version
   */
  record Accepted(ConfigurationRecord record) implements CommitOutcome {}

  /**
   * Another attempt took the place; this one is not in the chain and never will be.
   *
   * @param winner the version that was accepted instead
   */
  record Conflict(ConfigurationRecord winner) implements CommitOutcome {}

  /**
   * The attempt is not in the chain and never will be.
   *
   * @param reason why, for people
   */
  record Rejected(String reason) implements CommitOutcome {}

  /**
   * The stores did not tell in time whether the attempt is in the chain; it may still appear.
   *
   * @param attempt the identifier to look for in the history
   */
  record Undecided(String attempt) implements CommitOutcome {}
}
