package io.fireflyshed.transport.http;

import io.fireflyshed.transport.log.EventLog;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a client's connection on which the peer sends a response that no request waits for.
 *
 * <p>What follows on such a connection can't be assigned to requests reliably. A surplus response
 * that arrives while the next request waits looks like its response; the receiver must recognize it
 * by its contents, or rely on {@link #countEarlierRequests}. Placed after the HTTP codec. Not
 * thread safe; each connection has its own guard.
 */
public final class SurplusResponseGuard extends ChannelDuplexHandler {

  private static final AttributeKey<Integer> REQUESTS =
      AttributeKey.valueOf(SurplusResponseGuard.class, "requests");

  private static final AttributeKey<Boolean> IS_DUE =
      AttributeKey.valueOf(SurplusResponseGuard.class, "isDue");

  private static final EventLog LOG = new EventLog("http");

  /**
   * Counts the requests that preceded the current one on its connection. If there are none, no
   * earlier response can be taken for its response.
   *
   * @param channel the connection, not null
   * @return the number of earlier requests, -1 if no request was sent on the connection
   */
  public static int countEarlierRequests(Channel channel) {
    Integer requests = channel.attr(REQUESTS).get();
    return requests == null ? -1 : requests - 1;
  }

  /** Tests whether a request waits for a response, or for the rest of it. */
  static boolean isResponseDue(Channel channel) {
    return Boolean.TRUE.equals(channel.attr(IS_DUE).get());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest) {
      context.channel().attr(IS_DUE).set(true);
      Integer requests = context.channel().attr(REQUESTS).get();
      context.channel().attr(REQUESTS).set(requests == null ? 1 : requests + 1);
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject)) {
      context.fireChannelRead(message);
      return;
    }
    if (!isResponseDue(context.channel())) {
      ReferenceCountUtil.release(message);
      if (context.channel().isActive()) {
        LOG.warn("response without a request", "peer", context.channel().remoteAddress());
        context.close();
      }
      return;
    }
    context.channel().attr(IS_DUE).set(!(message instanceof LastHttpContent));
    context.fireChannelRead(message);
  }
}
