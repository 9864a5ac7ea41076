package io.fireflyshed.state.traffic;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * States how urgent a request is compared with others. Immutable.
 *
 * @param value the rank, 0 for the most urgent requests
 */
public record Rank(int value) implements Comparable<Rank> {

  /** The rank of the most urgent requests. */
  public static final Rank FIRST = new Rank(0);

  /** Validates the component. */
  public Rank {
    if (value < 0) {
      throw new IllegalArgumentException("negative rank: " + value);
    }
  }

  /**
   * Returns the rank of a request. That of the client account goes before that of the route.
   *
   * @param route the route, not null
   * @param account the client account, empty on public routes, not null
   * @return the rank, never null
   */
  public static Rank of(Route route, Optional<ClientAccount> account) {
    OptionalInt ofAccount = account.map(ClientAccount::priority).orElseGet(OptionalInt::empty);
    return new Rank(Math.max(0, ofAccount.orElse(route.priority())));
  }

  /**
   * Tests whether requests of this rank go before those of another one.
   *
   * @param other the other rank, not null
   * @return true if this rank is more urgent
   */
  public boolean isMoreUrgentThan(Rank other) {
    return value < other.value;
  }

  /** Compares by urgency, the most urgent first. */
  @Override
  public int compareTo(Rank other) {
    return Integer.compare(value, other.value);
  }
}
