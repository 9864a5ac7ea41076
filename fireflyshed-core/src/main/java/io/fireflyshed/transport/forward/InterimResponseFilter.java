package io.fireflyshed.transport.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Drops interim responses (status 1xx) of a target, which precede the response to a request, and
 * closes the connection of a response that is none of HTTP/1. Not thread safe; each connection has
 * its own filter.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

  private static final int MAJOR_VERSION = 1;

  private boolean isInterim;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      if (response.protocolVersion().majorVersion() != MAJOR_VERSION) {
        String text = "the response has the version " + response.protocolVersion().text();
        ReferenceCountUtil.release(message);
        context.fireExceptionCaught(new IOException(text));
        context.close();
        return;
      }
      isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
    if (!isInterim || !(message instanceof HttpResponse || message instanceof HttpContent)) {
      context.fireChannelRead(message);
      return;
    }
    isInterim = !(message instanceof LastHttpContent);
    ReferenceCountUtil.release(message);
    if (!isInterim) {
      // The decoder asks for more only if it has passed on nothing.
      context.read();
    }
  }
}
