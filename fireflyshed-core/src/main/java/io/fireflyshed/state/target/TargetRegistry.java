package io.fireflyshed.state.target;

import java.util.concurrent.CompletableFuture;

/** Reads the platform's list of targets. Implementations are thread safe. */
public interface TargetRegistry {

  /**
   * Reads all targets.
   *
   * @return a future of a whole reading
   */
  CompletableFuture<TargetChanges> readAll();

  /**
   * Reads what changed after a version.
   *
   * @param version the version of the reading before
   * @return a future of the changes; it fails with {@link
   *     io.fireflyshed.state.error.HistoryLostException} if the registry no longer knows them
   */
  CompletableFuture<TargetChanges> readChanges(long version);
}
