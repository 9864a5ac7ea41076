package io.fireflyshed.transport.peer;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The settings of a {@link PeerNode}.
 *
 * @param self the id of this process, not null
 * @param zone the availability zone of this process, not null
 * @param listenAddress the address on which to listen for peers, and whose host peers use to
 *     connect; port 0 selects a free port, not null
 */
public record PeerSettings(PeerId self, AvailabilityZone zone, InetSocketAddress listenAddress) {

  /** Validates the components. */
  public PeerSettings {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(listenAddress, "listenAddress");
  }
}
