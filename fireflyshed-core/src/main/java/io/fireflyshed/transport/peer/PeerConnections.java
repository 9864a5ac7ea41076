package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.peer.PeerId;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Opens, accepts and keeps connections to peers. Thread safe.
 *
 * <p>Everything is bounded: the number of connections, the frames that wait for a connection, and
 * the bytes that wait to be written; what goes beyond is dropped, as if the network had lost it.
 */
final class PeerConnections implements PeerFrameReceiver, AutoCloseable {

  private static final int MAX_CONNECTIONS = 1_024;
  private static final int MAX_WAITING = 64;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_SECONDS = 60;

  private final PeerId self;
  private final PeerFrameReceiver receiver;
  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ChannelGroup all = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<PeerId, Channel> ready = new HashMap<>();
  private final Map<PeerId, Deque<PeerProto.Frame>> waiting = new HashMap<>();
  private final AtomicLong dropped = new AtomicLong();

  PeerConnections(PeerId self, PeerFrameReceiver receiver) {
    this.self = self;
    this.receiver = receiver;
  }

  /** Starts to listen. */
  InetSocketAddress listen(InetSocketAddress address) {
    Channel server =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(newInitializer())
            .bind(address)
            .syncUninterruptibly()
            .channel();
    all.add(server);
    return (InetSocketAddress) server.localAddress();
  }

  /** Sends a frame, over a new connection if there is none; it may be lost. */
  void send(PeerId peer, InetSocketAddress address, PeerProto.Frame frame) {
    Channel channel;
    synchronized (this) {
      channel = ready.get(peer);
      if (channel == null) {
        addWaiting(peer, address, frame);
        return;
      }
    }
    write(channel, frame);
  }

  /** Opens a connection to a process that is only known by its address. */
  void open(InetSocketAddress address) {
    if (all.size() < MAX_CONNECTIONS) {
      newBootstrap().connect(address);
    }
  }

  /** Writes a frame unless too much waits already. */
  void write(Channel channel, PeerProto.Frame frame) {
    if (channel.isWritable()) {
      channel.writeAndFlush(frame, channel.voidPromise());
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Gets the number of frames that were dropped because too much waited. */
  long getDropped() {
    return dropped.get();
  }

  /** Gets the number of open connections and listening sockets. */
  int getOpen() {
    return all.size();
  }

  @Override
  public void onReady(PeerId peer, Channel channel) {
    Deque<PeerProto.Frame> frames;
    synchronized (this) {
      ready.put(peer, channel);
      frames = waiting.remove(peer);
    }
    if (frames != null) {
      frames.forEach(f -> write(channel, f));
    }
    receiver.onReady(peer, channel);
  }

  @Override
  public void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel) {
    receiver.onFrame(peer, frame, channel);
  }

  @Override
  public void onClosed(PeerId peer, Channel channel) {
    synchronized (this) {
      ready.remove(peer, channel);
    }
    receiver.onClosed(peer, channel);
  }

  @Override
  public void close() {
    all.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void addWaiting(PeerId peer, InetSocketAddress address, PeerProto.Frame frame) {
    Deque<PeerProto.Frame> frames = waiting.get(peer);
    if (frames == null) {
      frames = new ArrayDeque<>();
      waiting.put(peer, frames);
      connect(peer, address);
    }
    if (frames.size() < MAX_WAITING) {
      frames.add(frame);
    } else {
      dropped.incrementAndGet();
    }
  }

  private void connect(PeerId peer, InetSocketAddress address) {
    if (all.size() >= MAX_CONNECTIONS) {
      abandon(peer);
      return;
    }
    newBootstrap()
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                abandon(peer);
              }
            });
    loop.schedule(() -> abandon(peer), 2L * CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Bootstrap newBootstrap() {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(newInitializer());
  }

  /** Drops what waits for a connection that did not become ready. */
  private synchronized void abandon(PeerId peer) {
    Deque<PeerProto.Frame> frames = waiting.remove(peer);
    if (frames != null) {
      dropped.addAndGet(frames.size());
    }
  }

  private ChannelInitializer<SocketChannel> newInitializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (all.size() >= MAX_CONNECTIONS) {
          channel.close();
          return;
        }
        all.add(channel);
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(0, 0, IDLE_SECONDS),
                new PeerFrameDecoder(),
                new PeerFrameEncoder(),
                new PeerChannelHandler(self, PeerConnections.this));
      }
    };
  }
}
