package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;

/**
 * Wants a message sent.
 *
 * @param receiver the receiver, not null
 * @param message the message, not null
 */
public record MembershipSend(PeerId receiver, MembershipMessage message) {

  /** Checks the parts of the record. */
  public MembershipSend {
    Objects.requireNonNull(receiver, "receiver");
    Objects.requireNonNull(message, "message");
  }
}
