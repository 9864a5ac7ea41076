package io.fireflyshed.transport.operator;

/** Names what the holder of a token may do; each role includes those before it. */
public enum OperatorRole {
  /** Looks at things. */
  READ,
  /** Also drains instances and ends drains. */
  DRAIN,
  /** Also changes everything else. */
  CONFIGURE;

  /**
   * Tests whether this role includes another.
   *
   * @param needed the other role, not null
   * @return true if it does
   */
  public boolean includes(OperatorRole needed) {
    return compareTo(needed) >= 0;
  }
}
