package io.fireflyshed.state.instance;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Access to the platform's list of live and leaving instances, which may be out of date. */
public interface InstanceList {

  /**
   * Reads the complete list.
   *
   * @return a future of the instances; it fails with a {@link
   *     io.fireflyshed.state.error.ServingException} if the list cannot be read
   */
  CompletableFuture<List<InstanceRecord>> read();
}
