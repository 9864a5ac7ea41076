package io.fireflyshed.coordination.budget;

import java.util.Objects;
import java.util.Set;

/**
 * Says for what and for whom bytes are to be held.
 *
 * @param use what the bytes are, not null
 * @param owners those on whose behalf the bytes are held, each of whom is limited, copied, not null
 * @param isUrgent whether the claim may use room that others must leave, as for requests that may
 *     not be repeated
 */
public record ByteClaim(ByteUse use, Set<ByteOwner> owners, boolean isUrgent) {

  /** Validates the components and copies the set. */
  public ByteClaim {
    Objects.requireNonNull(use, "use");
    owners = Set.copyOf(owners);
  }
}
