package io.fireflyshed.coordination.configuration;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationCommit}. */
public class ConfigurationCommitTest {

  private static final ConfigurationRecord RECORD =
      new ConfigurationRecord(1, "a1", "ann", "d1", "change");

  private static ConfigurationCommit newCommitInFlight() {
    ConfigurationCommit commit = new ConfigurationCommit(RECORD, 1);
    commit.onHead(Optional.empty());
    commit.onBodyWritten();
    return commit;
  }

  /** Tests of failed commits. */
  public static class Failures {

    @Test
    public void areUndecidedIfTheHistoryCannotBeRead() {
      ConfigurationCommit commit = newCommitInFlight();
      assertEquals(commit.onFailure(true), new CommitStep.ReadVersion(1));
      assertEquals(
          commit.onFailure(false), new CommitStep.Finish(new CommitOutcome.Undecided("a1")));
    }

    @Test
    public void areRejectedIfNoCommitCanHaveTakenEffect() {
      ConfigurationCommit commit = newCommitInFlight();
      assertEquals(commit.onFailure(false), new CommitStep.Commit(RECORD, 0));
      assertEquals(
          commit.onFailure(false),
          new CommitStep.Finish(
              new CommitOutcome.Rejected("the table service or the object store did not respond")));
    }
  }
}
