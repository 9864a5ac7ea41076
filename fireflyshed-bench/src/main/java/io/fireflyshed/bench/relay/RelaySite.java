package io.fireflyshed.bench.relay;

import java.net.InetSocketAddress;
import java.time.Duration;
import reactor.netty.resources.ConnectionProvider;

/** Holds an engine with fixed answers and two ways to it: a pass-through and an entry. */
public final class RelaySite implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 4096;

  private final ConnectionProvider connections = ConnectionProvider.create("load", MAX_CONNECTIONS);
  private final FixedEngine fixedEngine;
  private final PassThrough passThrough = new PassThrough();
  private final FixedEntry fixedEntry = new FixedEntry();
  private final InetSocketAddress engine;
  private final InetSocketAddress bare;
  private final InetSocketAddress entry;
  private final int tokens;

  /**
   * Starts a site.
   *
   * @param tokens the number of tokens in each answer, positive
   * @param interval the time between two tokens, zero for as fast as they go, not null
   */
  public RelaySite(int tokens, Duration interval) {
    this.tokens = tokens;
    fixedEngine = new FixedEngine(tokens, interval);
    engine = fixedEngine.start();
    bare = passThrough.start(engine);
    entry = fixedEntry.start(engine);
  }

  /**
   * Measures the heap that open streams through the entry hold, both ends included.
   *
   * @param count the number of streams, positive
   * @return the heap in bytes
   */
  public double measureOpenStreams(int count) {
    return newRun(entry).measureOpenStreams(count);
  }

  int getTokens() {
    return tokens;
  }

  InetSocketAddress getEngine() {
    return engine;
  }

  InetSocketAddress getBare() {
    return bare;
  }

  InetSocketAddress getEntry() {
    return entry;
  }

  LoadRun newRun(InetSocketAddress address) {
    return new LoadRun(connections, address, fixedEngine.getBytes());
  }

  @Override
  public void close() {
    connections.dispose();
    fixedEntry.close();
    passThrough.close();
    fixedEngine.close();
  }
}
