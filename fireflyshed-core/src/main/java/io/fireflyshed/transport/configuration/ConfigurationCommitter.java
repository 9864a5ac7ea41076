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

/** Carries out the steps of {@link ConfigurationCommit} against the stores. Thread safe. */
public final class ConfigurationCommitter {

  private static final int MAX_FAILURES = 20;

  private final ConfigurationStore store;
  private final Executor retryExecutor;

  /**
   * Creates a committer.
   *
   * @param store the stores, not null
   * @param retryExecutor runs the step after a failure, usually after a delay, not null
   */
  public ConfigurationCommitter(ConfigurationStore store, Executor retryExecutor) {
    this.store = Objects.requireNonNull(store, "store");
    this.retryExecutor = Objects.requireNonNull(retryExecutor, "retryExecutor");
  }

  /**
   * Tries to append a version to the chain.
   *
   * @param base the version that the text was made from, 0 for the first
   * @param attempt a new identifier of this attempt, not null
   * @param author who applies it, not null
   * @param text the text, not null
   * @param summary what it changes, for people, not null
   * @return a future of the outcome; it does not fail because of the stores
   */
  public CompletableFuture<CommitOutcome> apply(
      long base, String attempt, String author, String text, String summary) {
    ConfigurationRecord record =
        new ConfigurationRecord(
            base + 1, attempt, author, ConfigurationStore.toDigest(text), summary);
    ConfigurationCommit commit = new ConfigurationCommit(record, MAX_FAILURES);
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
