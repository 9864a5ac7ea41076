package io.fireflyshed.state.peer;

import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

/** Exchanges notices with the other entry processes. Implementations are thread safe. */
public interface PeerBus {

  /**
   * Returns the id of this process.
   *
   * @return the id, never null
   */
  PeerId getSelf();

  /**
   * Returns the other entry processes that are believed to be alive and reachable.
   *
   * @return the processes, never null
   */
  Set<PeerId> getLivePeers();

  /**
   * Sends a notice to all peers. The notice may be lost.
   *
   * @param notice the notice, not null
   */
  void publish(PeerNotice notice);

  /**
   * Sends a notice to one peer. The notice may be lost, and other peers may receive it as well.
   *
   * @param receiver the peer, not null
   * @param notice the notice, not null
   */
  default void send(PeerId receiver, PeerNotice notice) {
    Objects.requireNonNull(receiver, "receiver");
    publish(notice);
  }

  /**
   * Registers a receiver for notices from peers. The receiver must return quickly.
   *
   * @param receiver the receiver, not null
   */
  void subscribe(Consumer<PeerNotice> receiver);
}
