package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;

/**
 * Holds what is believed of one process. Immutable.
 *
 * @param id the process, not null
 * @param address its address for peers as {@code host:port}, not null
 * @param zone its availability zone, not null
 * @param incarnation a number that only the process itself raises, to object to a suspicion
 * @param state what is believed, not null
 */
public record MemberRecord(
    PeerId id, String address, AvailabilityZone zone, long incarnation, MemberState state) {

  /** Checks the parts of the record. */
  public MemberRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(state, "state");
  }

  /**
   * Tests whether this record replaces another of the same process: the higher incarnation wins,
   * and among equal ones the worse state.
   *
   * @param other the other record, not null
   * @return true if this record is newer
   */
  public boolean isNewerThan(MemberRecord other) {
    if (other.state == MemberState.LEFT) {
      return false;
    }
    if (state == MemberState.LEFT || incarnation > other.incarnation) {
      return true;
    }
    return incarnation == other.incarnation && state.compareTo(other.state) > 0;
  }

  /**
   * Copies the record with another state.
   *
   * @param newState the state, not null
   * @return the copy, never null
   */
  public MemberRecord withState(MemberState newState) {
    return new MemberRecord(id, address, zone, incarnation, newState);
  }
}
