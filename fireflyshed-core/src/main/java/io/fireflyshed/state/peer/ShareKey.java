package io.fireflyshed.state.peer;

import java.util.Objects;

/**
 * Identifies a limit of a client account.
 *
 * @param account the client account, not null
 * @param kind the quantity that the limit restricts, not null
 */
public record ShareKey(String account, ShareKind kind) {

  /** Validates the components. */
  public ShareKey {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(kind, "kind");
  }

  @Override
  public String toString() {
    return account + "/" + kind;
  }
}
