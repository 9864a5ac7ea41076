package io.fireflyshed.transport.http;

import io.fireflyshed.state.clock.MonotonicClock;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Decides whether a connection to a peer may serve more than one request. Thread safe.
 *
 * <p>A peer that sent bytes which belong to no response gets a connection for each request for a
 * while, so that none of its requests fails for the bytes of an earlier one.
 */
public final class ConnectionReuse {

  /** The time for which a peer gets a connection for each request. */
  static final Duration SUSPENSION = Duration.ofSeconds(60);

  private final MonotonicClock clock;
  private final Map<String, Long> endNanosByPeer = new ConcurrentHashMap<>();

  /**
   * Creates an instance that permits reuse for all peers.
   *
   * @param clock the monotonic clock of this process, not null
   */
  public ConnectionReuse(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /**
   * Tests whether a connection to a peer may be used again.
   *
   * @param peer the address of the peer, not null
   * @return true unless the peer sent surplus bytes lately
   */
  public boolean isPermitted(InetSocketAddress peer) {
    String key = toKey(peer);
    Long endNanos = endNanosByPeer.get(key);
    if (endNanos == null) {
      return true;
    }
    boolean isOver = clock.nanoTime() - endNanos >= 0;
    if (isOver) {
      endNanosByPeer.remove(key, endNanos);
    }
    return isOver;
  }

  /**
   * Permits no reuse of connections to a peer for a while.
   *
   * @param peer the address of the peer, not null
   */
  public void suspend(SocketAddress peer) {
    endNanosByPeer.put(toKey(peer), clock.nanoTime() + SUSPENSION.toNanos());
  }

  /**
   * Counts the peers of which a connection was not used again lately.
   *
   * @return the number of peers, 0 or more
   */
  public int countSuspended() {
    long now = clock.nanoTime();
    endNanosByPeer.values().removeIf(endNanos -> now - endNanos >= 0);
    return endNanosByPeer.size();
  }

  /** Converts an address to a text that doesn't depend on whether it was resolved. */
  private static String toKey(SocketAddress peer) {
    return peer instanceof InetSocketAddress address
        ? address.getHostString() + ":" + address.getPort()
        : String.valueOf(peer);
  }
}
