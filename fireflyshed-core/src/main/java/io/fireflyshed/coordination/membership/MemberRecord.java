package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;

/**
 * Describes an entry process and its assumed state. Immutable.
 *
 * @param id the id of the process, not null
 * @param address the address of the process for its peers as {@code host:port}, not null
 * @param zone the availability zone of the process, not null
 * @param incarnation a number that only the process itself raises, to refute a suspicion
 * @param state the assumed state of the process, not null
 */
public record MemberRecord(
    PeerId id, String address, AvailabilityZone zone, long incarnation, MemberState state) {

  /** Validates the components. */
  public MemberRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(state, "state");
  }

  /**
   * Tests whether this record replaces another record of the same process. The higher incarnation
   * wins; if the incarnations are equal, the later state in the order of {@link MemberState} wins.
   * {@link MemberState#LEFT} is final and wins over every other state.
   *
   * @param other the other record, not null
   * @return true if this record replaces the other
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
   * Creates a copy of this record with another state.
   *
   * @param newState the state of the copy, not null
   * @return the copy, never null
   */
  public MemberRecord withState(MemberState newState) {
    return new MemberRecord(id, address, zone, incarnation, newState);
  }
}
