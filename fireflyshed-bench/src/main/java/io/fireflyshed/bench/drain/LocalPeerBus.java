package io.fireflyshed.bench.drain;

import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Carries notices between entries of one process. Thread safe. */
final class LocalPeerBus implements PeerBus {

  private final PeerId self;
  private final List<LocalPeerBus> all;
  private final List<Consumer<PeerNotice>> receivers = new CopyOnWriteArrayList<>();

  LocalPeerBus(PeerId self, List<LocalPeerBus> all) {
    this.self = self;
    this.all = all;
    all.add(this);
  }

  @Override
  public PeerId getSelf() {
    return self;
  }

  @Override
  public Set<PeerId> getLivePeers() {
    return Set.of();
  }

  @Override
  public void publish(PeerNotice notice) {
    for (LocalPeerBus peer : all) {
      if (peer != this) {
        peer.receivers.forEach(r -> r.accept(notice));
      }
    }
  }

  @Override
  public void subscribe(Consumer<PeerNotice> receiver) {
    receivers.add(receiver);
  }
}
