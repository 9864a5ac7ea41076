package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holds one connection over which this process relays requests to an entry and asks it questions.
 *
 * <p>While requests are in flight, the link is probed, since a connection may fall silent without a
 * reset. Used on the thread of the connections only.
 */
final class RelayLink {

  private final EntryPeer peer;
  private final PeerConnections connections;
  private final MonotonicClock clock;
  private final RelayTiming timing;
  private final Channel channel;
  private final ChannelFuture connected;
  private final Map<Long, LinkCall> calls = new LinkedHashMap<>();
  private long nextId = 1;
  private long receivedNanos;
  private boolean isReady;
  private boolean isRetired;
  private boolean isClosed;
  private boolean isProbing;
  private boolean isSilent;

  RelayLink(EntryPeer peer, PeerConnections connections, MonotonicClock clock, RelayTiming timing) {
    this.peer = peer;
    this.connections = connections;
    this.clock = clock;
    this.timing = timing;
    this.connected = connections.connect(peer.address());
    this.channel = connected.channel();
  }

  EntryPeer getPeer() {
    return peer;
  }

  Channel getChannel() {
    return channel;
  }

  /** Returns the future of the TCP connection. */
  ChannelFuture getConnected() {
    return connected;
  }

  boolean isReady() {
    return isReady;
  }

  boolean isClosed() {
    return isClosed;
  }

  /** Adds a call, whose first frame is sent now or once the link is ready, and returns its id. */
  long add(LinkCall call) {
    long id = nextId++;
    calls.put(id, call);
    return id;
  }

  /** Removes a call that ended; closes the link if it is retired and this was the last one. */
  void remove(long id) {
    calls.remove(id);
    if (isRetired && calls.isEmpty()) {
      channel.close();
    }
  }

  /** Returns the calls of this link, as a copy. */
  List<LinkCall> getCalls() {
    return List.copyOf(calls.values());
  }

  LinkCall find(long id) {
    return calls.get(id);
  }

  /** Returns whether the hello frame comes from the expected entry, which supports relays. */
  boolean accept(PeerId sender) {
    isReady = sender.equals(peer.id()) && PeerChannelHandler.isRelaySupported(channel);
    receivedNanos = clock.nanoTime();
    return isReady;
  }

  /**
   * Takes no more calls and closes the link as soon as no request is in flight on it. Offers
   * without an answer then move on, since they end with the link.
   */
  void retire() {
    isRetired = true;
    if (calls.values().stream().noneMatch(LinkCall::isSent)) {
      channel.close();
    }
  }

  /** Marks the link as closed and removes all its calls. */
  List<LinkCall> close() {
    isClosed = true;
    channel.close();
    List<LinkCall> ended = List.copyOf(calls.values());
    calls.clear();
    return ended;
  }

  /** Returns whether no frame has arrived since a reading of the clock. */
  boolean isSilentSince(long nanos) {
    return !isReady || receivedNanos - nanos <= 0;
  }

  void onReceived() {
    receivedNanos = clock.nanoTime();
    if (isSilent) {
      setSilent(false);
    }
  }

  private void setSilent(boolean newSilent) {
    isSilent = newSilent;
    getCalls().forEach(call -> call.onSilent(newSilent));
  }

  /** Tests whether the entry doesn't answer probes; its requests in flight may still end. */
  boolean isSilent() {
    return isSilent;
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  void write(PeerProto.Frame frame) {
    connections.writeOrClose(channel, frame);
  }

  /** Probes the link for as long as requests are in flight. */
  void startProbing() {
    if (!isProbing) {
      isProbing = true;
      receivedNanos = clock.nanoTime();
      isSilent = false;
      scheduleProbe();
    }
  }

  private void scheduleProbe() {
    connections
        .getExecutor()
        .schedule(this::probe, timing.probeInterval().toMillis(), TimeUnit.MILLISECONDS);
  }

  private void probe() {
    if (isClosed || calls.values().stream().noneMatch(LinkCall::isSent)) {
      isProbing = false;
    } else {
      if (!isSilent && clock.nanoTime() - receivedNanos >= timing.maxSilence().toNanos()) {
        setSilent(true);
      }
      write(PeerProto.Frame.newBuilder().setPing(PeerProto.Ping.getDefaultInstance()).build());
      scheduleProbe();
    }
  }
}
