package io.fireflyshed.transport.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Creates the receive buffers of connections that share an event loop. */
public final class FairReads {

  private static final int MIN_BYTES = 64;
  private static final int INITIAL_BYTES = 2048;
  private static final int MAX_BYTES = 64 << 10;

  private FairReads() {}

  /**
   * Creates an allocator with which each connection is read once in a pass of its event loop, so
   * that a connection with much to read delays the others by one buffer only.
   *
   * @return the allocator, never null
   */
  public static RecvByteBufAllocator newAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES)
        .maxMessagesPerRead(1);
  }
}
