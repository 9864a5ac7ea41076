package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Reads the accepted traffic configuration. Implementations are thread safe. */
public interface TrafficConfigurationSource {

  /**
   * Reads the newest configuration.
   *
   * @return a future of the reading
   */
  CompletableFuture<ConfigurationReading> read();

  /**
   * Waits for a change.
   *
   * @param sourceVersion the version of the reading before
   * @param wait the longest wait, not null
   * @return a future of the reading, empty if nothing changed; it fails with {@link
   *     io.fireflyshed.state.error.HistoryLostException} if the changes are no longer known
   */
  CompletableFuture<ConfigurationReading> await(long sourceVersion, Duration wait);
}
