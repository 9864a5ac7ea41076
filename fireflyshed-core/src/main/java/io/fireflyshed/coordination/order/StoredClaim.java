package io.fireflyshed.coordination.order;

import java.util.Objects;

/**
 * A claim as it was read from the table service.
 *
 * @param claim the claim, not null
 * @param version the version of its row, positive
 */
public record StoredClaim(OrderClaim claim, long version) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the version is not positive
   */
  public StoredClaim {
    Objects.requireNonNull(claim, "claim");
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive: " + version);
    }
  }
}
