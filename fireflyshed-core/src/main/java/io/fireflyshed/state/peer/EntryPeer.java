package io.fireflyshed.state.peer;

import io.fireflyshed.state.instance.AvailabilityZone;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Holds what an entry published about itself, by which other entries connect to it.
 *
 * @param id the name of the entry, not null
 * @param zone the availability zone of the entry, not null
 * @param address the address at which the entry listens for other entries, not null
 * @param changeNanos when a change of the row of the entry was last seen, as a reading of the
 *     monotonic clock of this process
 * @param cores the processor cores of the entry, a fraction for a share of one; 0 if unknown
 */
public record EntryPeer(
    PeerId id, AvailabilityZone zone, InetSocketAddress address, long changeNanos, double cores) {

  /** Validates the components. */
  public EntryPeer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(address, "address");
    if (!(cores >= 0)) {
      throw new IllegalArgumentException("cores must not be negative: " + cores);
    }
  }

  /** Creates an entry with an unknown number of processor cores. */
  public EntryPeer(PeerId id, AvailabilityZone zone, InetSocketAddress address, long changeNanos) {
    this(id, zone, address, changeNanos, 0);
  }
}
