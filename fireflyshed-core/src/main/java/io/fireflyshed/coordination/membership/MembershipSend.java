package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;

/**
 * A message that the caller is to send.
 *
 * @param receiver the process to send the message to, not null
 * @param message the message, not null
 */
public record MembershipSend(PeerId receiver, MembershipMessage message) {

  /** Validates the components. */
  public MembershipSend {
    Objects.requireNonNull(receiver, "receiver");
    Objects.requireNonNull(message, "message");
  }
}
