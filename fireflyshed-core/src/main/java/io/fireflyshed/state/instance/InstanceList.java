package io.fireflyshed.state.instance;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's list of live and leaving instances, which lags behind reality. */
public interface InstanceList {

  /**
   * Reads the whole list.
   *
   * @return a future of the instances; it fails with a {@link
   *     io.fireflyshed.state.error.ServingException} if the list can't be read
   */
  CompletableFuture<List<InstanceRecord>> read();
}
