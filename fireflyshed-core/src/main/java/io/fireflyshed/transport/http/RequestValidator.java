package io.fireflyshed.transport.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import reactor.netty.NettyPipeline;

/**
 * Refuses requests that a lenient decoder accepts and a target may understand otherwise. Nothing
 * behind such a request is read, since its end isn't certain. Not thread safe; each connection has
 * its own validator.
 */
final class RequestValidator extends ChannelDuplexHandler {

  /** Is fired before the decoder at a chunk that it would accept. */
  static final Object MALFORMED_BODY = new Object();

  private static final String REFUSAL =
      "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  private int unanswered;
  private boolean isRefused;
  private boolean isBodyMalformed;

  void addTo(ChannelPipeline pipeline) {
    pipeline.addAfter(NettyPipeline.HttpCodec, "requestValidator", this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isRefused) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request) {
      unanswered++;
      Optional<String> defect = MessageSyntaxUtils.findDefect(request);
      if (request.decoderResult().isSuccess() && defect.isPresent()) {
        isRefused = true;
        ReferenceCountUtil.release(message);
        context.fireChannelRead(newInvalidRequest(defect.get()));
        return;
      }
    } else if (message instanceof HttpContent content && content.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      onMalformedBody(context);
      return;
    }
    context.fireChannelRead(message);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event != MALFORMED_BODY) {
      context.fireUserEventTriggered(event);
    } else if (!isRefused) {
      onMalformedBody(context);
    }
  }

  private void onMalformedBody(ChannelHandlerContext context) {
    isRefused = true;
    isBodyMalformed = true;
    refuseBody(context);
  }

  /** Creates a request that the server refuses once all before it are answered. */
  private static HttpRequest newInvalidRequest(String defect) {
    HttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, "/bad-request", Unpooled.EMPTY_BUFFER);
    request.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(defect)));
    return request;
  }

  /** Refuses the request whose head was passed on without the end of its body. */
  private void refuseBody(ChannelHandlerContext context) {
    if (unanswered == 1) {
      context
          .pipeline()
          .context(NettyPipeline.HttpCodec)
          .writeAndFlush(Unpooled.copiedBuffer(REFUSAL, StandardCharsets.ISO_8859_1))
          .addListener(ChannelFutureListener.CLOSE);
    } else if (unanswered == 0) {
      context.close();
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean isInterim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    context.write(message, promise);
    if (message instanceof LastHttpContent && !isInterim) {
      unanswered--;
      if (isBodyMalformed) {
        refuseBody(context);
      }
    }
  }
}
