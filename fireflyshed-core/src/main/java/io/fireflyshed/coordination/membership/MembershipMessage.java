package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.peer.PeerId;
import java.util.List;

/** A message of the membership protocol. Messages may be lost or duplicated. */
public sealed interface MembershipMessage {

  /**
   * Asks the receiver for an {@link Ack}.
   *
   * @param sequence the sequence number that the answer repeats
   * @param updates recent changes of member records
   */
  record Ping(long sequence, List<MemberRecord> updates) implements MembershipMessage {}

  /**
   * Reports that a process answered a ping.
   *
   * @param sequence the sequence number of the ping or ping request
   * @param subject the process that is alive
   * @param updates recent changes of member records
   */
  record Ack(long sequence, PeerId subject, List<MemberRecord> updates)
      implements MembershipMessage {}

  /**
   * Asks the receiver to ping a process and to forward the answer.
   *
   * @param sequence the sequence number that the answer repeats
   * @param target the process to ping
   * @param updates recent changes of member records
   */
  record PingRequest(long sequence, PeerId target, List<MemberRecord> updates)
      implements MembershipMessage {}

  /**
   * Asks the receiver for its member list unless the list has the same digest.
   *
   * @param digest the digest of the sender's member list
   */
  record SyncRequest(long digest) implements MembershipMessage {}

  /**
   * Contains a part of the sender's member list.
   *
   * @param members the records of the part
   */
  record SyncReply(List<MemberRecord> members) implements MembershipMessage {}
}
