package io.fireflyshed.transport.operator;

/** What the holder of an operator token may do. Each role includes the roles before it. */
public enum OperatorRole {
  /** May read the configuration and the replicas. */
  READ,
  /** May also drain instances and end drains. */
  DRAIN,
  /** May also make all other changes. */
  CONFIGURE;

  /**
   * Tests whether this role includes another.
   *
   * @param other the other role, not null
   * @return true if the holder of this role may do everything that the other role permits
   */
  public boolean includes(OperatorRole other) {
    return compareTo(other) >= 0;
  }
}
