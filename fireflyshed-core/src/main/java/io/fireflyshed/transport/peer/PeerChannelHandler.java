package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.peer.PeerId;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the hello frames of a connection, negotiates the protocol version and passes all later
 * frames to a receiver.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<PeerProto.Frame> {

  /** The oldest protocol version that this process supports. */
  static final int MIN_VERSION = 1;

  /** The newest protocol version that this process supports. */
  static final int MAX_VERSION = 4;

  /** The oldest protocol version that has the frames of relays. */
  static final int RELAY_VERSION = 2;

  /** The oldest protocol version that has questions about tables and loads. */
  static final int QUESTION_VERSION = 4;

  /** Bounds the time of a connection without a hello frame. */
  static final Duration HELLO_TIMEOUT = Duration.ofSeconds(10);

  private static final AttributeKey<Integer> VERSION = AttributeKey.valueOf("peer-version");

  private static final Logger LOG = LoggerFactory.getLogger(PeerChannelHandler.class);

  private final PeerId self;
  private final PeerFrameReceiver receiver;
  private PeerId peer;
  private boolean isFailed;

  PeerChannelHandler(PeerId self, PeerFrameReceiver receiver) {
    this.self = self;
    this.receiver = receiver;
  }

  /**
   * Tests whether a peer understands the frames of relays.
   *
   * @param channel the connection to the peer, not null
   * @return false for an older peer and before its hello frame was accepted
   */
  static boolean isRelaySupported(Channel channel) {
    return isSupported(channel, RELAY_VERSION);
  }

  /**
   * Tests whether a peer answers questions about tables and loads.
   *
   * @param channel the connection to the peer, not null
   * @return false for an older peer and before its hello frame was accepted
   */
  static boolean areQuestionsSupported(Channel channel) {
    return isSupported(channel, QUESTION_VERSION);
  }

  private static boolean isSupported(Channel channel, int minVersion) {
    Integer version = channel.attr(VERSION).get();
    return version != null && version >= minVersion;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    PeerProto.Hello.Builder hello =
        PeerProto.Hello.newBuilder()
            .setMinVersion(MIN_VERSION)
            .setMaxVersion(MAX_VERSION)
            .setSender(self.value());
    context.writeAndFlush(PeerProto.Frame.newBuilder().setHello(hello).build());
    ScheduledFuture<?> timer =
        context
            .executor()
            .schedule(
                () -> closeWithoutHello(context), HELLO_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    context.channel().closeFuture().addListener(closed -> timer.cancel(false));
  }

  private void closeWithoutHello(ChannelHandlerContext context) {
    if (peer == null) {
      LOG.debug("peers: {} has not said hello", context.channel().remoteAddress());
      context.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerProto.Frame frame) {
    if (isFailed) {
      return;
    }
    boolean isHello = frame.getBodyCase() == PeerProto.Frame.BodyCase.HELLO;
    if (isHello != (peer == null)) {
      throw new IllegalArgumentException(
          isHello ? "received a second hello frame" : "first frame is not a hello frame");
    }
    if (isHello) {
      onHello(context, frame.getHello());
    } else {
      receiver.onFrame(peer, frame, context.channel());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (peer != null && context.channel().isWritable()) {
      receiver.onWritable(peer, context.channel());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (isFailed) {
      return;
    }
    isFailed = true;
    if (cause instanceof IOException) {
      LOG.debug("peers: lost the connection to {}", context.channel().remoteAddress());
    } else {
      LOG.warn(
          "peers: closed the connection to {}: {}",
          context.channel().remoteAddress(),
          cause.getMessage());
    }
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (peer != null) {
      receiver.onClosed(peer, context.channel());
    }
  }

  private void onHello(ChannelHandlerContext context, PeerProto.Hello hello) {
    int version = Math.min(MAX_VERSION, hello.getMaxVersion());
    if (version < Math.max(MIN_VERSION, hello.getMinVersion())) {
      throw new IllegalArgumentException(
          "no common protocol version, the peer supports "
              + hello.getMinVersion()
              + " to "
              + hello.getMaxVersion());
    }
    peer = new PeerId(hello.getSender());
    context.channel().attr(VERSION).set(version);
    context.pipeline().get(PeerFrameDecoder.class).allowLongFrames();
    receiver.onReady(peer, context.channel());
  }
}
