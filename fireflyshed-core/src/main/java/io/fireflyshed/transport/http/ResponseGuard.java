package io.fireflyshed.transport.http;

import io.fireflyshed.transport.log.EventLog;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.regex.Pattern;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Assigns the bytes of a client's connection to the request that waits for them, before the decoder
 * makes responses of them.
 *
 * <p>A decoder keeps the beginning of a head until the rest arrives, whether a request waits or
 * not. The guard passes on only bytes between a request and the end of its response, and closes the
 * connection at bytes that belong to no request or to another response. Interim responses are
 * dropped. A body without length is complete only if its peer ended the connection in an orderly
 * way. Not thread safe; each connection has its own guard.
 */
public final class ResponseGuard extends ChannelDuplexHandler {

  /** What a peer sent that belongs to no response. */
  enum Reason {
    /** Bytes that no request waits for. */
    SURPLUS_BYTES,
    /** A head that doesn't begin with the status line of a response of HTTP/1. */
    STATUS_LINE,
    /** A head with the status line of another response in it. */
    SECOND_STATUS_LINE,
    /** A line of a head that doesn't begin with the name of a header and a colon. */
    HEADER_NAME,
    /** A body whose end can't be told for certain. */
    FRAMING
  }

  private enum Phase {
    NO_REQUEST,
    HEAD,
    SIZED_BODY,
    CHUNKED_BODY,
    BODY_TO_CLOSE
  }

  /** Limits the bytes that a log line shows. */
  private static final int MAX_LOGGED_BYTES = 64;

  /** The length of a body in bytes, which fits into a {@code long}. */
  private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

  private static final AttributeKey<ResponseGuard> GUARD =
      AttributeKey.valueOf(ResponseGuard.class, "guard");

  private static final EventLog LOG = new EventLog("http");

  private final ConnectionReuse reuse;
  private final Events events = new Events();
  private Phase phase = Phase.NO_REQUEST;
  private ResponseHeadScanner head = new ResponseHeadScanner(false);
  private ChunkScanner chunks = ChunkScanner.ofResponse();
  private long bodyBytesLeft;
  private boolean isEnded;
  private boolean isRefused;
  private boolean hasReadFailed;
  private boolean isInputEnded;
  private ChannelHandlerContext guardContext;
  private int requests;
  private String requestId = "";

  private ResponseGuard(ConnectionReuse reuse) {
    this.reuse = Objects.requireNonNull(reuse, "reuse");
  }

  /**
   * Guards the connections of a client.
   *
   * @param client the client, not null
   * @param reuse is told of peers that send surplus bytes, not null
   * @return the client with guarded connections, never null
   */
  public static HttpClient configure(HttpClient client, ConnectionReuse reuse) {
    // Without half-closure, the end of the input looks like any other end of the connection.
    return client
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .doOnChannelInit((observer, channel, address) -> addTo(channel, reuse));
  }

  /**
   * Guards a connection whose pipeline already contains the HTTP codec.
   *
   * @param channel the connection, which allows half-closure, not null
   * @param reuse is told of peers that send surplus bytes, not null
   */
  static void addTo(Channel channel, ConnectionReuse reuse) {
    ResponseGuard guard = new ResponseGuard(reuse);
    channel.attr(GUARD).set(guard);
    channel
        .pipeline()
        .addBefore(NettyPipeline.HttpCodec, "responseGuard", guard)
        .addAfter(NettyPipeline.HttpCodec, "responseGuardEvents", guard.events);
  }

  /**
   * Counts the requests that preceded the current one on its connection. If there are none, no
   * earlier response can be taken for its response.
   *
   * @param channel the connection, not null
   * @return the number of earlier requests, -1 if no request was sent on the connection
   */
  public static int countEarlierRequests(Channel channel) {
    ResponseGuard guard = channel.attr(GUARD).get();
    return guard == null ? -1 : guard.requests - 1;
  }

  /**
   * Tells which request is sent on a connection, for log lines.
   *
   * @param channel the connection, which is guarded, not null
   * @param id the id of the request, not null
   */
  public static void setRequestId(Channel channel, String id) {
    channel.attr(GUARD).get().requestId = id;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    guardContext = context;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      context.fireChannelRead(message);
      return;
    }
    try {
      while (bytes.isReadable() && !isRefused && context.channel().isActive()) {
        passPiece(context, bytes);
      }
    } finally {
      bytes.release();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    hasReadFailed = true;
    context.fireExceptionCaught(cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event != ChannelInputShutdownEvent.INSTANCE) {
      context.fireUserEventTriggered(event);
      return;
    }
    // The event also follows a failed read, and a failed write, which closes the channel first.
    isInputEnded = !hasReadFailed && context.channel().isActive();
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    // The decoder completes a body without length at any end of the connection.
    isRefused |= phase == Phase.BODY_TO_CLOSE && !isInputEnded;
    context.fireChannelInactive();
  }

  /** Passes on bytes up to the end of a head or body at most. */
  private void passPiece(ChannelHandlerContext context, ByteBuf bytes) {
    int start = bytes.readerIndex();
    int available = bytes.readableBytes();
    int length =
        switch (phase) {
          case NO_REQUEST -> 0;
          case HEAD -> head.scan(bytes, start, start + available) - start;
          case SIZED_BODY -> (int) Math.min(available, bodyBytesLeft);
          case CHUNKED_BODY -> chunks.scan(bytes, start, start + available) - start;
          case BODY_TO_CLOSE -> available;
        };
    if (phase == Phase.HEAD && head.getDefect().isPresent()) {
      refuse(context, toReason(head.getDefect().get()), bytes);
      return;
    }
    if (length == 0 || phase == Phase.CHUNKED_BODY && chunks.isMalformed()) {
      refuse(context, phase == Phase.NO_REQUEST ? Reason.SURPLUS_BYTES : Reason.FRAMING, bytes);
      return;
    }
    isEnded = false;
    context.fireChannelRead(bytes.readRetainedSlice(length));
    if (isEnded && bytes.isReadable()) {
      // They precede any request that was sent meanwhile.
      refuse(context, Reason.SURPLUS_BYTES, bytes);
    }
  }

  private static Reason toReason(ResponseHeadScanner.Defect defect) {
    return switch (defect) {
      case STATUS_LINE -> Reason.STATUS_LINE;
      case SECOND_STATUS_LINE -> Reason.SECOND_STATUS_LINE;
      case HEADER_NAME -> Reason.HEADER_NAME;
    };
  }

  private void refuse(ChannelHandlerContext context, Reason reason, ByteBuf bytes) {
    isRefused = true;
    Channel channel = context.channel();
    if (!channel.isActive()) {
      return;
    }
    log(reason, channel, bytes);
    if (requests > 1 || reason == Reason.SURPLUS_BYTES) {
      reuse.suspend(channel.remoteAddress());
    }
    if (phase != Phase.NO_REQUEST) {
      String text = "the response is malformed: " + reason;
      context.fireExceptionCaught(new MalformedResponseException(text));
    }
    context.close();
  }

  private void log(Reason reason, Channel channel, ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_LOGGED_BYTES);
    String unread = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
    LOG.warn(
        reason == Reason.SURPLUS_BYTES ? "surplus bytes" : "malformed response",
        "request",
        requestId,
        "reason",
        reason,
        "peer",
        channel.remoteAddress(),
        "local",
        channel.localAddress(),
        "earlier_requests",
        requests - 1,
        "bytes",
        bytes.readableBytes(),
        "beginning",
        reason == Reason.SURPLUS_BYTES ? unread : head.getBeginning());
  }

  /** Is told which requests were written and what the decoder returned. */
  private final class Events extends ChannelDuplexHandler {

    private boolean isInterim;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest) {
        requests++;
        expectHead();
      }
      context.write(message, promise);
    }

    private void expectHead() {
      phase = Phase.HEAD;
      head = new ResponseHeadScanner(requests > 1);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (isRefused) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof HttpResponse response) {
        if (!isBodyDelimited(response.headers())
            || response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
          ReferenceCountUtil.release(message);
          refuse(guardContext, Reason.FRAMING, Unpooled.EMPTY_BUFFER);
          return;
        }
        isInterim =
            response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && response.decoderResult().isSuccess();
        expectBody(response);
      }
      if (message instanceof HttpContent content) {
        bodyBytesLeft -= content.content().readableBytes();
      }
      boolean isDropped =
          isInterim && (message instanceof HttpResponse || message instanceof HttpContent);
      boolean isLast = message instanceof LastHttpContent;
      if (isLast) {
        onEnd();
      }
      if (!isDropped) {
        context.fireChannelRead(message);
        return;
      }
      ReferenceCountUtil.release(message);
      if (isLast) {
        // The decoder asks for more only if it has passed on nothing.
        context.read();
      }
    }

    /** Tests whether a body isn't encoded otherwise than in chunks, and its length is a number. */
    private static boolean isBodyDelimited(HttpHeaders headers) {
      return MessageSyntaxUtils.isTransferCodingKnown(headers)
          && headers.getAll(HttpHeaderNames.CONTENT_LENGTH).stream()
              .allMatch(length -> LENGTH.matcher(length).matches());
    }

    private void expectBody(HttpResponse response) {
      bodyBytesLeft = HttpUtil.getContentLength(response, -1L);
      if (response.decoderResult().isFailure()) {
        phase = Phase.BODY_TO_CLOSE;
      } else if (HttpUtil.isTransferEncodingChunked(response)) {
        phase = Phase.CHUNKED_BODY;
        chunks = ChunkScanner.ofResponse();
      } else {
        phase = bodyBytesLeft >= 0 ? Phase.SIZED_BODY : Phase.BODY_TO_CLOSE;
      }
    }

    private void onEnd() {
      if (isInterim) {
        isInterim = false;
        expectHead();
      } else {
        isEnded = true;
        phase = Phase.NO_REQUEST;
      }
    }
  }
}
