package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.peer.PeerId;
import java.util.List;

/** A message about membership between two processes. Messages may be lost or come twice. */
public sealed interface MembershipMessage {

  /**
   * Asks the receiver whether it is alive.
   *
   * @param sequence joins the answer
   * @param updates recent changes
   */
  record Ping(long sequence, List<MemberRecord> updates) implements MembershipMessage {}

  /**
   * Tells that a process answered a probe.
   *
   * @param sequence the sequence of the question
   * @param subject the process that is alive
   * @param updates recent changes
   */
  record Ack(long sequence, PeerId subject, List<MemberRecord> updates)
      implements MembershipMessage {}

  /**
   * Asks the receiver to probe a process.
   *
   * @param sequence joins the answer
   * @param target the process to probe
   * @param updates recent changes
   */
  record PingRequest(long sequence, PeerId target, List<MemberRecord> updates)
      implements MembershipMessage {}

  /**
   * Asks for the whole list unless the receiver's has the same digest.
   *
   * @param digest the digest of the sender's list
   */
  record SyncRequest(long digest) implements MembershipMessage {}

  /**
   * Tells a part of the list.
   *
   * @param members the part
   */
  record SyncReply(List<MemberRecord> members) implements MembershipMessage {}
}
