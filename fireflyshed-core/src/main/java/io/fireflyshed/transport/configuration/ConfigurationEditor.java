package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.state.configuration.ConfigurationHead;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/**
 * Edits the newest configuration, and repeats the edit if another version was accepted in the
 * meantime. Thread safe.
 */
public final class ConfigurationEditor {

  private static final int MAX_CONFLICT_RETRIES = 8;
  private static final CommitOutcome NO_CONFIGURATION =
      new CommitOutcome.Rejected("no configuration was ever applied");

  private final ConfigurationStore store;
  private final ConfigurationCommitter committer;

  /**
   * Creates an editor.
   *
   * @param store the store of the configuration history, not null
   * @param committer appends versions to the history, not null
   */
  public ConfigurationEditor(ConfigurationStore store, ConfigurationCommitter committer) {
    this.store = Objects.requireNonNull(store, "store");
    this.committer = Objects.requireNonNull(committer, "committer");
  }

  /**
   * Edits the newest configuration. If there is none, the edit is rejected, because a configuration
   * that contains nothing but the edit would stop all services.
   *
   * @param author the operator who makes the change, not null
   * @param summary a human-readable summary of the change, not null
   * @param edit returns the new document for the old one; may be called several times, not null
   * @return a future of the outcome
   */
  public CompletableFuture<CommitOutcome> edit(
      String author, String summary, UnaryOperator<ConfigurationDocument> edit) {
    return edit(author, summary, edit, MAX_CONFLICT_RETRIES);
  }

  /**
   * Reads the document of the newest version.
   *
   * @param head the head of the history, or empty if no version was ever accepted, not null
   * @return a future of the document, which is empty if there is no head
   */
  public CompletableFuture<ConfigurationDocument> readDocument(Optional<ConfigurationHead> head) {
    return head.isEmpty()
        ? CompletableFuture.completedFuture(ConfigurationDocument.ofNothing())
        : store.readBody(head.get().record()).thenApply(ConfigurationDocument::fromText);
  }

  private CompletableFuture<CommitOutcome> edit(
      String author, String summary, UnaryOperator<ConfigurationDocument> edit, int retriesLeft) {
    return store
        .readHead()
        .thenCompose(
            head ->
                head.isEmpty()
                    ? CompletableFuture.completedFuture(NO_CONFIGURATION)
                    : readDocument(head)
                        .thenCompose(
                            document ->
                                apply(head, edit.apply(document).toText(), author, summary)))
        .thenCompose(
            outcome ->
                outcome instanceof CommitOutcome.Conflict && retriesLeft > 0
                    ? edit(author, summary, edit, retriesLeft - 1)
                    : CompletableFuture.completedFuture(outcome));
  }

  private CompletableFuture<CommitOutcome> apply(
      Optional<ConfigurationHead> head, String text, String author, String summary) {
    long baseVersion = head.map(h -> h.record().version()).orElse(0L);
    return committer.apply(baseVersion, "a" + UUID.randomUUID(), author, text, summary);
  }
}
