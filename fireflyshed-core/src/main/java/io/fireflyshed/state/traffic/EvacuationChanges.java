package io.fireflyshed.state.traffic;

import io.fireflyshed.state.instance.AvailabilityZone;
import java.util.Set;

/**
 * States which availability zones the operator evacuates, as a read of the source showed it.
 *
 * @param isWhole whether all evacuated zones are among {@code begun}, rather than only new ones
 * @param begun the zones whose targets must get no requests, copied, not null
 * @param ended the zones whose evacuation was taken back, copied, not null
 */
public record EvacuationChanges(
    boolean isWhole, Set<AvailabilityZone> begun, Set<AvailabilityZone> ended) {

  /** A read that shows no change. */
  public static final EvacuationChanges NONE = new EvacuationChanges(false, Set.of(), Set.of());

  /** Copies the sets. */
  public EvacuationChanges {
    begun = Set.copyOf(begun);
    ended = Set.copyOf(ended);
  }
}
