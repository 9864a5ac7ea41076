package io.fireflyshed.state.peer;

import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

/** The peer bus of a process without peers, which discards all notices. Thread safe. */
public final class LonePeerBus implements PeerBus {

  private final PeerId self;

  /**
   * Creates a bus.
   *
   * @param self the id of this process, not null
   */
  public LonePeerBus(PeerId self) {
    this.self = Objects.requireNonNull(self, "self");
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
    Objects.requireNonNull(notice, "notice");
  }

  @Override
  public void subscribe(Consumer<PeerNotice> receiver) {
    Objects.requireNonNull(receiver, "receiver");
  }
}
