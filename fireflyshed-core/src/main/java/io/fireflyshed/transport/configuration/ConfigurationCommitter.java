package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.coordination.configuration.CommitStep;
import io.fireflyshed.coordination.configuration.ConfigurationCommit;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.error.NoEffectException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Function;

/**
 * Carries out the steps of a {@link ConfigurationCommit} in the table service and the object store.
 * Thread safe.
 */
public final class ConfigurationCommitter {

  private static final int MAX_FAILED_STEPS = 20;

  private final ConfigurationStore store;
  private final Executor retryExecutor;

  /**
   * Creates a committer.
   *
   * @param store the store of the configuration history, not null
   * @param retryExecutor runs the next step after a failure, usually after a delay, not null
   */
  public ConfigurationCommitter(ConfigurationStore store, Executor retryExecutor) {
    this.store = Objects.requireNonNull(store, "store");
    this.retryExecutor = Objects.requireNonNull(retryExecutor, "retryExecutor");
  }

  /**
   * Attempts to append a version to the configuration history.
   *
   * @param baseVersion the number of the version from which the text was derived, 0 if there is
   *     none
   * @param attempt a new id for this attempt, not null
   * @param author the operator who makes the change, not null
   * @param text the text of the configuration, not null
   * @param summary a human-readable summary of the change, not null
   * @return a future of the outcome, which does not fail because of a failure of the table service
   *     or the object store
   */
  public CompletableFuture<CommitOutcome> apply(
      long baseVersion, String attempt, String author, String text, String summary) {
    ConfigurationRecord record =
        new ConfigurationRecord(
            baseVersion + 1, attempt, author, ConfigurationStore.toDigest(text), summary);
    ConfigurationCommit commit = new ConfigurationCommit(record, MAX_FAILED_STEPS);
    return perform(commit, commit.start(), text);
  }

  private CompletableFuture<CommitOutcome> perform(
      ConfigurationCommit commit, CommitStep step, String text) {
    if (step instanceof CommitStep.Finish finish) {
      return CompletableFuture.completedFuture(finish.outcome());
    }
    return callStore(commit, step, text)
        .handle(
            (next, error) ->
                error == null ? perform(commit, next, text) : retry(commit, error, text))
        .thenCompose(Function.identity());
  }

  private CompletableFuture<CommitStep> callStore(
      ConfigurationCommit commit, CommitStep step, String text) {
    if (step instanceof CommitStep.WriteBody) {
      return store.writeBody(text).thenApply(v -> commit.onBodyWritten());
    }
    if (step instanceof CommitStep.Commit wanted) {
      return store
          .commit(wanted.record(), wanted.headRowVersion())
          .thenApply(r -> commit.onCommitAnswer(r.isCommitted()));
    }
    if (step instanceof CommitStep.ReadVersion read) {
      return store.readVersion(read.version()).thenApply(commit::onVersion);
    }
    return store.readHead().thenApply(commit::onHead);
  }

  private CompletableFuture<CommitOutcome> retry(
      ConfigurationCommit commit, Throwable error, String text) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    CommitStep next = commit.onFailure(!(cause instanceof NoEffectException));
    return CompletableFuture.supplyAsync(() -> next, retryExecutor)
        .thenCompose(s -> perform(commit, s, text));
  }
}
