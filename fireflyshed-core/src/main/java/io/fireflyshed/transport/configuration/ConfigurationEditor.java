package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.state.configuration.ConfigurationHead;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/** Changes the newest configuration and tries again if another operator was first. Thread safe. */
public final class ConfigurationEditor {

  private static final int MAX_CONFLICTS = 8;
  private static final CommitOutcome NOTHING_TO_EDIT =
      new CommitOutcome.Rejected("no configuration was ever applied");

  private final ConfigurationStore store;
  private final ConfigurationCommitter committer;

  /**
   * Creates an editor.
   *
   * @param store the stores, not null
   * @param committer appends versions, not null
   */
  public ConfigurationEditor(ConfigurationStore store, ConfigurationCommitter committer) {
    this.store = Objects.requireNonNull(store, "store");
    this.committer = Objects.requireNonNull(committer, "committer");
  }

  /**
   * Changes the newest configuration. Without one the edit is rejected, because a configuration
   * that holds nothing but the edit would end all services.
   *
   * @param author who changes it, not null
   * @param summary what changes, for people, not null
   * @param edit makes the new document of the old one; may run several times, not null
   * @return a future of the outcome
   */
  public CompletableFuture<CommitOutcome> edit(
      String author, String summary, UnaryOperator<ConfigurationDocument> edit) {
    return edit(author, summary, edit, MAX_CONFLICTS);
  }

  /**
   * Reads the document of a head.
   *
   * @param head the end of the chain, or empty if there is none, not null
   * @return a future of the document, which holds nothing if there is no head
   */
  public CompletableFuture<ConfigurationDocument> readDocument(Optional<ConfigurationHead> head) {
    return head.isEmpty()
        ? CompletableFuture.completedFuture(ConfigurationDocument.ofNothing())
        : store.readBody(head.get().record()).thenApply(ConfigurationDocument::fromText);
  }

  private CompletableFuture<CommitOutcome> edit(
      String author, String summary, UnaryOperator<ConfigurationDocument> edit, int triesLeft) {
    return store
        .readHead()
        .thenCompose(
            head ->
                head.isEmpty()
                    ? CompletableFuture.completedFuture(NOTHING_TO_EDIT)
                    : readDocument(head)
                        .thenCompose(
                            document ->
                                apply(head, edit.apply(document).toText(), author, summary)))
        .thenCompose(
            outcome ->
                outcome instanceof CommitOutcome.Conflict && triesLeft > 0
                    ? edit(author, summary, edit, triesLeft - 1)
                    : CompletableFuture.completedFuture(outcome));
  }

  private CompletableFuture<CommitOutcome> apply(
      Optional<ConfigurationHead> head, String text, String author, String summary) {
    long base = head.map(h -> h.record().version()).orElse(0L);
    return committer.apply(base, "a" + UUID.randomUUID(), author, text, summary);
  }
}
