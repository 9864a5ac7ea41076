package io.fireflyshed.transport.http;

import io.fireflyshed.transport.log.EventLog;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.nio.charset.StandardCharsets;

/**
 * Logs bytes of a peer that the decoder may take for a part of another response. Placed before the
 * HTTP codec of a connection with a {@link SurplusResponseGuard}. Not thread safe; each connection
 * has its own monitor.
 */
public final class ResponseMonitor extends ChannelInboundHandlerAdapter {

  /** Limits the bytes that a log line shows. */
  private static final int MAX_LOGGED_BYTES = 64;

  private static final EventLog LOG = new EventLog("http");

  private static final AttributeKey<String> REQUEST =
      AttributeKey.valueOf(ResponseMonitor.class, "request");

  private int requests;
  private ResponseHeadScanner head = new ResponseHeadScanner(false);

  /**
   * Tells which request is sent on a connection, for its log lines.
   *
   * @param channel the connection, not null
   * @param request the id of the request, not null
   */
  public static void setRequest(Channel channel, String request) {
    channel.attr(REQUEST).set(request);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      inspect(context.channel(), bytes);
    }
    context.fireChannelRead(message);
  }

  private void inspect(Channel channel, ByteBuf bytes) {
    int earlierRequests = SurplusResponseGuard.countEarlierRequests(channel);
    if (earlierRequests >= requests) {
      requests = earlierRequests + 1;
      head = new ResponseHeadScanner(earlierRequests > 0);
    }
    if (!SurplusResponseGuard.isResponseDue(channel)) {
      log("surplus bytes", "SURPLUS_BYTES", channel, bytes);
    } else if (!head.isEnded() && head.getDefect().isEmpty()) {
      head.scan(bytes, bytes.readerIndex(), bytes.writerIndex());
      head.getDefect().ifPresent(d -> log("malformed response", d.name(), channel, bytes));
    }
  }

  private static void log(String event, String reason, Channel channel, ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_LOGGED_BYTES);
    LOG.warn(
        event,
        "request",
        channel.attr(REQUEST).get(),
        "reason",
        reason,
        "peer",
        channel.remoteAddress(),
        "local",
        channel.localAddress(),
        "earlier_requests",
        SurplusResponseGuard.countEarlierRequests(channel),
        "bytes",
        bytes.readableBytes(),
        "beginning",
        bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1));
  }
}
