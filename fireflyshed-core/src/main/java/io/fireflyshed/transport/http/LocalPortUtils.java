package io.fireflyshed.transport.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses ports for servers that are started on this machine later, for trials and tests. */
public final class LocalPortUtils {

  private static final int FIRST_PORT = 10_240;

  /** The ports from here on are given to outgoing connections by default. */
  private static final int END_PORT = 32_768;

  /** Processes start at different ports, and none chooses a port twice in a row. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(END_PORT - FIRST_PORT));

  private LocalPortUtils() {}

  /**
   * Finds a port of the loopback address that is free now. With the default settings of systems,
   * connections of other processes don't take it before it is bound. Thread safe.
   *
   * @return the address, unresolved, never null
   * @throws IllegalStateException if no port is free
   */
  public static InetSocketAddress findFreeAddress() {
    for (int i = FIRST_PORT; i < END_PORT; i++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), END_PORT - FIRST_PORT);
      if (isFree(port)) {
        return InetSocketAddress.createUnresolved("127.0.0.1", port);
      }
    }
    throw new IllegalStateException("no port of the loopback address is free");
  }

  /** Tests whether a server could use a port of the loopback address now. */
  static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      // Another process uses the port.
      return false;
    }
  }
}
