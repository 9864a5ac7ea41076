package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;

/**
 * Holds what an entry tells another about load when it asks for that of all entries.
 *
 * @param sender the entry, not null
 * @param load the load that it puts on targets, not null
 * @param isZone whether the sender tells no load and wants the load of the receiver's availability
 *     zone only
 */
public record LoadReport(PeerId sender, FleetLoad load, boolean isZone) {

  /** Validates the components. */
  public LoadReport {
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(load, "load");
  }
}
