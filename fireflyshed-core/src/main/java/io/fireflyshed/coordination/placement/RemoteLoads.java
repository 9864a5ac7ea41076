package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.peer.EntryPeer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Tells other entries load and asks them for it. Implementations are thread safe. */
public interface RemoteLoads {

  /**
   * Tells an entry the load of this one and asks for that of all entries it knows.
   *
   * @param entry the entry to ask, not null
   * @param own the load that this entry puts on targets, not null
   * @param isZone whether only the load of the other entry's availability zone is wanted; the own
   *     load is not told then
   * @param timeout the longest wait, not null
   * @return a future of the load; it fails if the entry doesn't answer in time
   */
  CompletableFuture<FleetLoad> ask(
      EntryPeer entry, FleetLoad own, boolean isZone, Duration timeout);
}
