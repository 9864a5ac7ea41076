package io.fireflyshed.coordination.placement;

/**
 * States how much of the targets of a pool is used, in requests. Immutable.
 *
 * @param slots the requests that the reachable targets run at the same time
 * @param capacity these and the requests that may wait at the targets, at least {@code slots}
 * @param used the running and waiting requests
 */
public record PoolRoom(int slots, int capacity, int used) {

  /** The room of a pool without a reachable target. */
  public static final PoolRoom NONE = new PoolRoom(0, 0, 0);

  /** Validates the components. */
  public PoolRoom {
    if (slots < 0 || capacity < slots || used < 0) {
      throw new IllegalArgumentException(
          "slots " + slots + ", capacity " + capacity + ", used " + used);
    }
  }
}
