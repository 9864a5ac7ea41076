package io.fireflyshed.transport.http;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.transport.http.RequestGuards.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import reactor.netty.NettyPipeline;

/**
 * Counts what the peer of a connection sends before the decoder makes objects of it.
 *
 * <p>The bytes go to the decoder piece by piece, each at most up to the end of a head. Lines and
 * bytes of heads are reserved before that and given back once the request is answered. While many
 * requests of the connection are unanswered, its answers are not read or other connections are due,
 * the bytes that were read wait, and no more are read. All but the methods for other threads are
 * called on the event loop.
 */
final class RequestGuard extends ChannelDuplexHandler implements FairTurns.Member {

  /** What a header takes as objects, in the request and in those that are made of it. */
  private static final int LINE_BYTES = 512;

  /** What the head of a request may have more than the configuration says. */
  private static final int SPARE_HEAD_BYTES = 1 << 10;

  private static final int MAX_EMPTY_BYTES = 512;

  /** The requests of a connection that may be unanswered before no more are read. */
  private static final int MAX_UNANSWERED = 32;

  /** Limits the bytes of a chunked body that are decoded at once. */
  private static final int MAX_CHUNKED_BYTES = 256;

  /** The cost of a request besides that of its lines, each of which costs 1. */
  private static final int REQUEST_COST = 32;

  /** The bytes that cost as much as a line. */
  private static final int LINE_COST_BYTES = 256;

  /** The time for a peer to read a refusal, in which what it sends is dropped. */
  private static final Duration REFUSAL_TIME = Duration.ofSeconds(1);

  /** The time to read what has arrived if this process was suspended. */
  private static final Duration LATE_READ_TIME = Duration.ofMillis(500);

  /** The time in which a peer may read nothing of a whole answer before it may lose its place. */
  private static final Duration UNREAD_TIME = Duration.ofSeconds(5);

  private static final double MILLIS_PER_SECOND = 1000;

  private enum Phase {
    HEAD,
    SIZED_BODY,
    CHUNKED_BODY
  }

  private final RequestGuards guards;
  private final Channel channel;
  private final Events events = new Events();
  private final FairTurns turns;
  private final FairTurns.Slot slot = new FairTurns.Slot(this);
  private final Queue<Long> unansweredBytes = new ArrayDeque<>();
  private volatile long progressNanos;
  private volatile int unanswered;
  private volatile boolean isWaiting;
  private volatile int unsentAnswers;
  private volatile long unsentNanos;
  private ChannelHandlerContext context;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private ByteBudget.Reservation reservation;
  private Future<?> headTimer;
  private Phase phase = Phase.HEAD;
  private ChunkScanner chunks = ChunkScanner.ofRequest();
  private long bodyBytesLeft;
  private boolean isPassing;
  private boolean isReadDue;
  private boolean isReading;
  private Reason refusal;
  private boolean isRefused;
  private boolean hasEvents;

  /** What was passed to the decoder since it last returned something. */
  private int pendingBytes;

  private long reservedBytes;
  private long heldBytes;
  private int emptyBytes;
  private int lineBytes;
  private boolean hasLine;

  /** The lines of the head that were passed on so far. */
  private int headLines;

  RequestGuard(RequestGuards guards, Channel channel) {
    this.guards = guards;
    this.channel = channel;
    turns = guards.getTurns(channel.eventLoop());
    progressNanos = guards.nanoTime();
  }

  void addTo(ChannelPipeline pipeline) {
    channel.attr(RequestGuards.GUARD).set(this);
    String codec = NettyPipeline.HttpCodec;
    pipeline.addBefore(codec, "requestGuard", this);
    pipeline.addAfter(codec, "requestGuardEvents", events);
  }

  /** Tests whether no request of the connection is unanswered or waits. Thread safe. */
  boolean isIdle() {
    return unanswered == 0 && !isWaiting;
  }

  /** Tests whether bytes of the connection were read and not yet decoded. Thread safe. */
  boolean isWaiting() {
    return isWaiting;
  }

  /** Tests whether whole answers have not been read for some time. Thread safe. */
  boolean isUnread() {
    return unsentAnswers > 0 && guards.nanoTime() - unsentNanos > UNREAD_TIME.toNanos();
  }

  /** Returns the time of the last request or answer, or of the start. Thread safe. */
  long getProgressNanos() {
    return progressNanos;
  }

  /** Closes the connection without an answer. Thread safe. */
  void closeFor(Reason reason) {
    guards.recordClose(reason, channel.remoteAddress());
    channel.eventLoop().execute(channel::close);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext addedContext) {
    context = addedContext;
  }

  @Override
  public void read(ChannelHandlerContext readContext) {
    if (refusal != null || held.isReadable()) {
      isReadDue = true;
    } else {
      readContext.read();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext readContext, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      readContext.fireChannelRead(message);
      return;
    }
    if (refusal != null) {
      bytes.release();
      return;
    }
    if (held.isReadable()) {
      held = Unpooled.wrappedBuffer(held, bytes);
    } else {
      held.release();
      held = bytes;
    }
    isReading = true;
    if (phase == Phase.SIZED_BODY && !isPassing) {
      pass(0);
    }
    resume();
    updateHeld();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext readContext) {
    isReading = false;
    if (isRefused) {
      readContext.read();
    }
    readContext.fireChannelReadComplete();
    readIfDue();
  }

  /** Makes up for a read that was asked for while bytes waited. */
  private void readIfDue() {
    if (isReadDue && !held.isReadable() && refusal == null) {
      isReadDue = false;
      context.read();
    }
  }

  @Override
  public boolean hasWork() {
    return refusal == null && channel.isActive() && held.isReadable() && mayPass();
  }

  /** Tests whether the connection may have another request. */
  private boolean mayPass() {
    return phase != Phase.HEAD || unanswered < MAX_UNANSWERED && channel.isWritable();
  }

  @Override
  public int work(int limit) {
    if (!hasWork()) {
      return 0;
    }
    int cost = pass(limit);
    updateHeld();
    if (!isReading) {
      context.fireChannelReadComplete();
      readIfDue();
    }
    return cost;
  }

  /** Passes on what was read up to a cost, the bytes of a body with a length at no cost. */
  private int pass(int limit) {
    int cost = 0;
    isPassing = true;
    try {
      while (hasWork() && (cost < limit || phase == Phase.SIZED_BODY)) {
        cost += passPiece(limit - cost);
      }
    } finally {
      isPassing = false;
    }
    return cost;
  }

  private void updateHeld() {
    releaseIfPassed();
    if (!canWait() && phase != Phase.HEAD) {
      // A lack of memory must not end a request under way.
      pass(Integer.MAX_VALUE);
      releaseIfPassed();
    }
    if (!canWait()) {
      refuse(Reason.NO_ROOM);
    }
    isWaiting = held.isReadable();
    boolean isHeadDue = phase == Phase.HEAD && pendingBytes > emptyBytes && !isWaiting;
    setHeadTimer(isHeadDue && refusal == null && channel.isActive());
  }

  private void releaseIfPassed() {
    if (!held.isReadable() || !channel.isActive()) {
      held.release();
      held = Unpooled.EMPTY_BUFFER;
    }
  }

  /** Reserves what the bytes take that wait, or gives it back; tests whether there is room. */
  private boolean canWait() {
    long bytes = held.isReadable() ? held.capacity() : 0;
    if (bytes > heldBytes) {
      if (reservation == null) {
        reservation = guards.newReservation(channel);
      }
      if (!reservation.tryGrow(bytes - heldBytes)) {
        return false;
      }
    } else if (reservation != null) {
      reservation.shrink(heldBytes - bytes);
    }
    heldBytes = bytes;
    return true;
  }

  /** Passes on a piece of at most some lines and returns its cost. */
  private int passPiece(int maxLines) {
    if (phase == Phase.SIZED_BODY) {
      fire((int) Math.min(held.readableBytes(), bodyBytesLeft));
      return 0;
    }
    int lines = 0;
    int start = held.readerIndex();
    int limit = phase == Phase.HEAD ? held.readableBytes() : MAX_CHUNKED_BYTES;
    int end = Math.min(held.writerIndex(), start + limit);
    int index = start;
    boolean isEnd = false;
    while (index < end
        && !isEnd
        && lines < maxLines
        && pendingBytes + index - start <= getMaxBytes()) {
      byte b = held.getByte(index++);
      if (b == '\n') {
        lines++;
        isEnd = lineBytes == 0 && hasLine && phase == Phase.HEAD;
        emptyBytes += hasLine || lineBytes > 0 ? 0 : 2;
        hasLine |= lineBytes > 0;
        lineBytes = 0;
      } else if (b != '\r') {
        lineBytes++;
      }
    }
    int length = index - start;
    int cost = 1 + lines + length / LINE_COST_BYTES;
    if (phase == Phase.HEAD && !canHold(length, lines)) {
      return cost;
    }
    boolean isChunked = phase == Phase.CHUNKED_BODY;
    if (isChunked) {
      length = chunks.scan(held, start, start + length) - start;
      if (chunks.isMalformed() || length == 0) {
        context.fireUserEventTriggered(RequestValidator.MALFORMED_BODY);
        held.skipBytes(held.readableBytes());
        return cost;
      }
    }
    headLines = isChunked ? 0 : headLines + lines;
    if (isEnd) {
      // The lines cost again when the request is handled.
      cost += REQUEST_COST + headLines;
      headLines = 0;
    }
    fire(length);
    if (isChunked && !hasEvents) {
      canHold(0, lines);
    }
    return cost;
  }

  /** Hands bytes to the decoder. */
  private void fire(int length) {
    hasEvents = false;
    pendingBytes += length;
    ByteBuf piece = held.readRetainedSlice(length);
    isWaiting = held.isReadable();
    context.fireChannelRead(piece);
  }

  private int getMaxBytes() {
    return guards.getMaxHeadBytes() + SPARE_HEAD_BYTES;
  }

  /** Reserves what some more bytes and lines of a head take; refuses the request if it can't. */
  private boolean canHold(int bytes, int lines) {
    if (emptyBytes > MAX_EMPTY_BYTES) {
      refuse(Reason.EMPTY_LINES);
    } else if (pendingBytes + bytes > getMaxBytes()) {
      refuse(phase == Phase.HEAD ? Reason.LARGE_HEAD : Reason.LARGE_TRAILERS);
    } else {
      if (reservation == null) {
        reservation = guards.newReservation(channel);
      }
      long more = bytes + (long) lines * LINE_BYTES;
      if (reservation.tryGrow(more)) {
        reservedBytes += more;
        if (phase == Phase.HEAD) {
          reservation.setEvictable(this::evict);
        }
      } else {
        refuse(Reason.NO_ROOM);
      }
    }
    return refusal == null;
  }

  private void evict() {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (phase == Phase.HEAD && pendingBytes > 0) {
                refuse(Reason.EVICTED);
              }
            });
  }

  /** Reads no more requests and refuses the one under way once all before it are answered. */
  private void refuse(Reason reason) {
    if (refusal != null || !channel.isActive()) {
      return;
    }
    refusal = reason;
    guards.recordClose(reason, channel.remoteAddress());
    held.release();
    held = Unpooled.EMPTY_BUFFER;
    isWaiting = false;
    setHeadTimer(false);
    if (phase != Phase.HEAD) {
      channel.close();
    } else if (unanswered == 0) {
      writeRefusal();
    }
  }

  private void writeRefusal() {
    isRefused = true;
    String status =
        switch (refusal) {
          case LARGE_HEAD, LARGE_TRAILERS, EMPTY_LINES -> "431 Request Header Fields Too Large";
          case SLOW_HEAD -> "408 Request Timeout";
          default ->
              "503 Service Unavailable\r\nRetry-After: "
                  + String.format(
                      Locale.ROOT, "%.3f", guards.getRetryAfter().toMillis() / MILLIS_PER_SECOND);
        };
    String head = "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    context.writeAndFlush(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
    giveBack();
    channel
        .eventLoop()
        .schedule(() -> channel.close(), REFUSAL_TIME.toMillis(), TimeUnit.MILLISECONDS);
    context.read();
  }

  private void setHeadTimer(boolean isDue) {
    if (isDue && headTimer == null) {
      headTimer = schedule(guards.getHeadTimeout(), this::onHeadTimeout);
    } else if (!isDue && headTimer != null) {
      headTimer.cancel(false);
      headTimer = null;
    }
  }

  /** Gives a head that a suspended process has not read the time to be read. */
  private void onHeadTimeout() {
    headTimer = schedule(LATE_READ_TIME, () -> refuse(Reason.SLOW_HEAD));
  }

  private Future<?> schedule(Duration delay, Runnable task) {
    return channel.eventLoop().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Continues after an answer. */
  private void onAnswered() {
    if (!channel.isActive()) {
      return;
    }
    unanswered--;
    unsentAnswers--;
    progressNanos = guards.nanoTime();
    unsentNanos = progressNanos;
    Long bytes = unansweredBytes.poll();
    if (bytes != null && reservation != null) {
      reservation.shrink(bytes);
    }
    if (refusal != null) {
      if (unanswered == 0 && !isRefused) {
        writeRefusal();
      }
      return;
    }
    if (held.isReadable() && !isPassing) {
      // Not within the write of an answer.
      channel.eventLoop().execute(this::resume);
    } else if (unanswered == 0 && reservedBytes == 0) {
      giveBack();
    }
  }

  /** Goes on to pass what waits once it is due. */
  private void resume() {
    if (hasWork()) {
      turns.add(slot);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext writableContext) {
    if (held.isReadable() && !isPassing) {
      // Not within the write of an answer.
      channel.eventLoop().execute(this::resume);
    }
    writableContext.fireChannelWritabilityChanged();
  }

  private void giveBack() {
    if (reservation != null) {
      reservation.close();
      reservation = null;
    }
    unansweredBytes.clear();
    reservedBytes = 0;
    heldBytes = 0;
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactiveContext) {
    setHeadTimer(false);
    giveBack();
    held.release();
    held = Unpooled.EMPTY_BUFFER;
    isWaiting = false;
    inactiveContext.fireChannelInactive();
  }

  /** Is told what the decoder returned and which answers were written. */
  private final class Events extends ChannelDuplexHandler {

    @Override
    public void channelRead(ChannelHandlerContext eventContext, Object message) {
      hasEvents = true;
      if (refusal != null) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof HttpRequest request) {
        onRequest(request);
      }
      if (message instanceof HttpContent content) {
        onContent(content);
      }
      eventContext.fireChannelRead(message);
    }

    private void onRequest(HttpRequest request) {
      unanswered++;
      setHeadTimer(false);
      progressNanos = guards.nanoTime();
      unansweredBytes.add(reservedBytes);
      reservedBytes = 0;
      pendingBytes = 0;
      if (reservation != null) {
        reservation.setNotEvictable();
      }
      boolean isValid = request.decoderResult().isSuccess();
      bodyBytesLeft = isValid ? HttpUtil.getContentLength(request, 0L) : 0;
      boolean isChunked = HttpUtil.isTransferEncodingChunked(request);
      chunks = ChunkScanner.ofRequest();
      phase = isChunked || bodyBytesLeft <= 0 ? Phase.CHUNKED_BODY : Phase.SIZED_BODY;
    }

    private void onContent(HttpContent content) {
      bodyBytesLeft -= content.content().readableBytes();
      pendingBytes = 0;
      if (reservedBytes > 0 && reservation != null) {
        reservation.shrink(reservedBytes);
        reservation.setNotEvictable();
      }
      reservedBytes = 0;
      if (content instanceof LastHttpContent) {
        phase = Phase.HEAD;
        emptyBytes = 0;
        lineBytes = 0;
        hasLine = false;
      } else if (phase == Phase.SIZED_BODY && bodyBytesLeft <= 0) {
        phase = Phase.CHUNKED_BODY;
      }
    }

    @Override
    public void write(ChannelHandlerContext writeContext, Object message, ChannelPromise promise) {
      boolean isInformational =
          message instanceof HttpResponse response
              && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (message instanceof LastHttpContent && !isInformational) {
        ChannelPromise answered = promise.unvoid();
        unsentNanos = unsentAnswers == 0 ? guards.nanoTime() : unsentNanos;
        unsentAnswers++;
        answered.addListener(written -> onAnswered());
        writeContext.write(message, answered);
      } else {
        writeContext.write(message, promise);
      }
    }
  }
}
