package io.fireflyshed.transport.peer;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Holds the settings of a {@link PeerNode}.
 *
 * @param self the identity of this process, not null
 * @param zone its availability zone, not null
 * @param listen the address for peers, by which they also reach it; port 0 takes a free one, not
 *     null
 */
public record PeerSettings(PeerId self, AvailabilityZone zone, InetSocketAddress listen) {

  /** Checks the parts of the record. */
  public PeerSettings {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(listen, "listen");
  }
}
