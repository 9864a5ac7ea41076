package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Reads the accepted traffic configuration and its changes. Implementations are thread safe. */
public interface TrafficConfigurationSource {

  /**
   * Reads the latest configuration.
   *
   * @return a future of the result
   */
  CompletableFuture<ConfigurationReadResult> read();

  /**
   * Waits for a change of the configuration.
   *
   * @param sourceVersion the source version of the previous result
   * @param maxWait the maximum time to wait, not null
   * @return a future of the result, without a configuration if nothing changed; it fails with a
   *     {@link io.fireflyshed.state.error.HistoryLostException} if the source no longer keeps the
   *     changes
   */
  CompletableFuture<ConfigurationReadResult> awaitChange(long sourceVersion, Duration maxWait);
}
