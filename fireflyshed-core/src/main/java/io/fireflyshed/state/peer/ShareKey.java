package io.fireflyshed.state.peer;

import java.util.Objects;

/**
 * Identifies a limit of a client account.
 *
 * @param account the client account, not null
 * @param kind what the limit bounds, not null
 */
public record ShareKey(String account, ShareKind kind) {

  /** Checks the parts of the record. */
  public ShareKey {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(kind, "kind");
  }

  @Override
  public String toString() {
    return account + "/" + kind;
  }
}
