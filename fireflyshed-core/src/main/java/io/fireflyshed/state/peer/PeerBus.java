package io.fireflyshed.state.peer;

import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

/** Carries notices between entry processes. Implementations are thread safe. */
public interface PeerBus {

  /**
   * Gets the identity of this process.
   *
   * @return the identity, never null
   */
  PeerId getSelf();

  /**
   * Gets the other processes that are believed to be alive and reachable.
   *
   * @return the processes, never null
   */
  Set<PeerId> getLivePeers();

  /**
   * Sends a notice to all peers. It may be lost.
   *
   * @param notice the notice, not null
   */
  void publish(PeerNotice notice);

  /**
   * Sends a notice to one peer. It may be lost, and other peers may see it.
   *
   * @param receiver the peer, not null
   * @param notice the notice, not null
   */
  default void send(PeerId receiver, PeerNotice notice) {
    Objects.requireNonNull(receiver, "receiver");
    publish(notice);
  }

  /**
   * Registers a receiver of the notices of peers. It must return quickly.
   *
   * @param receiver the receiver, not null
   */
  void subscribe(Consumer<PeerNotice> receiver);
}
