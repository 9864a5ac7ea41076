package io.fireflyshed.coordination.configuration;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationCommit}. */
public class ConfigurationCommitTest {

  private static final ConfigurationRecord RECORD =
      new ConfigurationRecord(1, "a1", "ann", "d1", "change");

  private static ConfigurationCommit newSent() {
    ConfigurationCommit commit = new ConfigurationCommit(RECORD, 1);
    commit.onHead(Optional.empty());
    commit.onBodyWritten();
    return commit;
  }

  /** Tests of commits that failed. */
  public static class Failures {

    @Test
    public void areUndecidedIfTheChainCantBeReadBack() {
      ConfigurationCommit commit = newSent();
      assertEquals(commit.onFailure(true), new CommitStep.ReadVersion(1));
      assertEquals(
          commit.onFailure(false), new CommitStep.Finish(new CommitOutcome.Undecided("a1")));
    }

    @Test
    public void areRejectedIfNothingWasSent() {
      ConfigurationCommit commit = newSent();
      assertEquals(commit.onFailure(false), new CommitStep.Commit(RECORD, 0));
      assertEquals(
          commit.onFailure(false),
          new CommitStep.Finish(new CommitOutcome.Rejected("the stores did not answer")));
    }
  }
}
