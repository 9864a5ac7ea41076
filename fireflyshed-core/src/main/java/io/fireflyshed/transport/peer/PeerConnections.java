package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.peer.PeerId;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens, accepts and manages the connections to peers. Thread safe.
 *
 * <p>The number of connections, the number of frames that are queued until a connection is ready,
 * and the number of bytes that are queued for writing are bounded. Frames beyond these bounds are
 * dropped, as if the network had lost them, except those of {@link #writeOrClose}.
 */
final class PeerConnections implements PeerFrameReceiver, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);
  private static final int MAX_CONNECTIONS = 1_024;

  /** Bounds the accepted connections whose peers have not said hello yet. */
  private static final int MAX_UNIDENTIFIED = 128;

  private static final int MAX_QUEUED_FRAMES_PER_PEER = 64;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  /**
   * The bytes that may wait for a peer beyond the channel's limit; a peer that reads nothing while
   * this much piles up is lost.
   */
  private static final long MAX_BACKLOG_BYTES = 4L << 20;

  private final PeerId self;
  private final PeerFrameReceiver receiver;
  private final EventLoopGroup eventLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventExecutor executor = eventLoop.next();
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /** The accepted connections without a hello, the oldest first; only used on the event loop. */
  private final Set<Channel> unidentified = new LinkedHashSet<>();

  private final Map<PeerId, Channel> readyChannels = new HashMap<>();
  private final Map<PeerId, Deque<PeerProto.Frame>> queuedFrames = new HashMap<>();
  private final AtomicLong droppedFrames = new AtomicLong();

  PeerConnections(PeerId self, PeerFrameReceiver receiver) {
    this.self = self;
    this.receiver = receiver;
  }

  /** Starts to listen and returns the bound address; port 0 selects a free port. */
  InetSocketAddress listen(InetSocketAddress address) {
    Channel server =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .childHandler(newInitializer())
            .bind(address)
            .syncUninterruptibly()
            .channel();
    channels.add(server);
    return (InetSocketAddress) server.localAddress();
  }

  /** Sends a frame, over a new connection if none is ready. The frame may be lost. */
  void send(PeerId peer, InetSocketAddress address, PeerProto.Frame frame) {
    Channel channel;
    synchronized (this) {
      channel = readyChannels.get(peer);
      if (channel == null) {
        enqueue(peer, address, frame);
        return;
      }
    }
    write(channel, frame);
  }

  /** Opens a connection to a process whose id is not known yet. */
  void connectToAddress(InetSocketAddress address) {
    if (channels.size() < MAX_CONNECTIONS) {
      newBootstrap().connect(address);
    }
  }

  /**
   * Opens a connection. Its channel becomes ready when the hello frame of the peer arrives.
   *
   * @return a future of the connection, which fails on its own after a second
   */
  ChannelFuture connect(InetSocketAddress address) {
    return newBootstrap().connect(address);
  }

  /** Returns the only thread on which the events of connections are handled. */
  EventExecutor getExecutor() {
    return executor;
  }

  /**
   * Writes a frame that must not be dropped. If that fails, or if the peer reads nothing for so
   * long that too many bytes are queued, the connection is closed instead.
   */
  ChannelFuture writeOrClose(Channel channel, PeerProto.Frame frame) {
    if (channel.bytesBeforeWritable() > MAX_BACKLOG_BYTES) {
      droppedFrames.incrementAndGet();
      LOG.warn("peers: {} doesn't read, its connection is closed", channel.remoteAddress());
      return channel.close();
    }
    return channel.writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Writes a frame, or drops it if too many bytes are queued for writing. */
  void write(Channel channel, PeerProto.Frame frame) {
    if (channel.isWritable()) {
      channel.writeAndFlush(frame, channel.voidPromise());
    } else {
      droppedFrames.incrementAndGet();
    }
  }

  /**
   * Returns the number of frames that were dropped because a bound was reached or no connection
   * became ready.
   */
  long getDroppedFrameCount() {
    return droppedFrames.get();
  }

  /** Returns the number of open connections and listening sockets. */
  int getChannelCount() {
    return channels.size();
  }

  @Override
  public void onReady(PeerId peer, Channel channel) {
    unidentified.remove(channel);
    Deque<PeerProto.Frame> frames;
    synchronized (this) {
      readyChannels.put(peer, channel);
      frames = queuedFrames.remove(peer);
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
  public void onWritable(PeerId peer, Channel channel) {
    receiver.onWritable(peer, channel);
  }

  @Override
  public void onClosed(PeerId peer, Channel channel) {
    synchronized (this) {
      readyChannels.remove(peer, channel);
    }
    receiver.onClosed(peer, channel);
  }

  @Override
  public void close() {
    channels.close();
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void enqueue(PeerId peer, InetSocketAddress address, PeerProto.Frame frame) {
    Deque<PeerProto.Frame> frames = queuedFrames.get(peer);
    if (frames == null) {
      frames = new ArrayDeque<>();
      queuedFrames.put(peer, frames);
      connect(peer, address);
    }
    if (frames.size() < MAX_QUEUED_FRAMES_PER_PEER) {
      frames.add(frame);
    } else {
      droppedFrames.incrementAndGet();
    }
  }

  private void connect(PeerId peer, InetSocketAddress address) {
    if (channels.size() >= MAX_CONNECTIONS) {
      dropQueuedFrames(peer);
      return;
    }
    newBootstrap()
        .connect(address)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                dropQueuedFrames(peer);
              }
            });
    eventLoop.schedule(
        () -> dropQueuedFrames(peer), 2L * CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Bootstrap newBootstrap() {
    return new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(newInitializer());
  }

  /** Drops the frames that are queued for a connection, if it has not become ready. */
  private synchronized void dropQueuedFrames(PeerId peer) {
    Deque<PeerProto.Frame> frames = queuedFrames.remove(peer);
    if (frames != null) {
      droppedFrames.addAndGet(frames.size());
    }
  }

  /** Adds an accepted connection, for which the oldest without a hello gives way. */
  private void addUnidentified(Channel channel) {
    if (unidentified.size() >= MAX_UNIDENTIFIED) {
      Channel oldest = unidentified.iterator().next();
      LOG.debug("peers: {} has not said hello and gives way", oldest.remoteAddress());
      unidentified.remove(oldest);
      oldest.close();
    }
    unidentified.add(channel);
    channel.closeFuture().addListener(closed -> unidentified.remove(channel));
  }

  private ChannelInitializer<SocketChannel> newInitializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (channel.parent() != null) {
          addUnidentified(channel);
        }
        if (channels.size() >= MAX_CONNECTIONS) {
          channel.close();
          return;
        }
        channels.add(channel);
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS),
                new PeerFrameDecoder(),
                new PeerFrameEncoder(),
                new PeerChannelHandler(self, PeerConnections.this));
      }
    };
  }
}
