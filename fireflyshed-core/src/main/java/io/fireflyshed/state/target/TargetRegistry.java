package io.fireflyshed.state.target;

import java.util.concurrent.CompletableFuture;

/** Reads the platform's registry of targets. Implementations are thread safe. */
public interface TargetRegistry {

  /**
   * Reads all targets.
   *
   * @return a future of a result that lists all targets
   */
  CompletableFuture<TargetChanges> readAll();

  /**
   * Reads the changes after a version.
   *
   * @param version the version of the previous result
   * @return a future of the changes; it fails with a {@link
   *     io.fireflyshed.state.error.HistoryLostException} if the registry no longer keeps them
   */
  CompletableFuture<TargetChanges> readChanges(long version);
}
