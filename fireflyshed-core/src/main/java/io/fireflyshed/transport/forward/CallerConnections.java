package io.fireflyshed.transport.forward;

import io.fireflyshed.transport.http.ReadBarrier;
import io.fireflyshed.transport.http.ReadDelayUtils;
import io.fireflyshed.transport.http.RequestGuards;
import io.fireflyshed.transport.log.EventLog;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import reactor.netty.NettyPipeline;

/**
 * Counts the requests on each connection of callers that were read and not yet answered, so that a
 * shutdown closes connections only between requests. Thread safe.
 */
final class CallerConnections {

  private static final AttributeKey<Tracker> TRACKER =
      AttributeKey.valueOf(CallerConnections.class, "tracker");

  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final EventLog log = new EventLog("entry");
  private final AtomicInteger unansweredRequests = new AtomicInteger();
  private volatile boolean isClosingIdle;

  /** Adds a connection whose pipeline already contains the HTTP codec. */
  void add(Channel channel) {
    Tracker tracker = new Tracker();
    channel.attr(TRACKER).set(tracker);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addAfter(NettyPipeline.HttpCodec, Tracker.class.getSimpleName(), tracker);
    channels.add(channel);
  }

  /** Returns the number of open connections. */
  int count() {
    return channels.size();
  }

  /**
   * Returns the number of requests that were read from open connections and not yet answered,
   * including those that wait behind others on the same connection. What was read from a connection
   * and not yet decoded counts as one.
   */
  int countUnanswered() {
    long waiting = channels.stream().filter(RequestGuards::hasWaitingBytes).count();
    return unansweredRequests.get() + (int) waiting;
  }

  /** Tests whether further requests were read from a connection while one is being answered. */
  boolean hasPipelinedRequests(Channel channel) {
    Tracker tracker = channel.attr(TRACKER).get();
    return tracker != null && (tracker.unanswered > 1 || RequestGuards.hasWaitingBytes(channel));
  }

  /**
   * Returns the time for which the request of a connection that was read last had waited, on its
   * event loop. A request that was read while one before it was being answered counts as read at
   * once.
   */
  Duration getReadDelay(Channel channel) {
    return channel.attr(TRACKER).get().readDelay;
  }

  /** Creates the link to the caller at the other end of a connection. */
  CallerLink newLink(Channel channel) {
    ReadBarrier barrier = ReadBarrier.of(channel.eventLoop());
    return new CallerLink() {
      @Override
      public Mono<Void> awaitReads() {
        return barrier.await();
      }

      @Override
      public boolean isBlocked() {
        return !channel.isWritable();
      }
    };
  }

  /**
   * Waits until a caller has read so much that more can be written to its connection.
   *
   * @param channel the connection
   * @return completes then, or at the end of the connection
   */
  Mono<Void> awaitWritable(Channel channel) {
    Tracker tracker = channel.attr(TRACKER).get();
    return Mono.create(
        sink -> channel.eventLoop().execute(() -> tracker.whenWritable(channel, sink::success)));
  }

  /**
   * Closes connections whose requests have all been answered, now and whenever that is the case
   * later. A connection without a request yet stays open, since its first one may be on its way.
   */
  void closeIdle() {
    isClosingIdle = true;
    for (Channel channel : channels) {
      channel.eventLoop().execute(() -> closeIfIdle(channel, channel.attr(TRACKER).get()));
    }
  }

  /** Closes all connections and waits until that is done, up to a time. */
  void close(Duration timeout) {
    if (!channels.close().awaitUninterruptibly(timeout.toMillis())) {
      log.warn("connections of callers not closed in time", "connections", channels.size());
    }
  }

  private void closeIfIdle(Channel channel, Tracker tracker) {
    boolean isIdle = tracker.unanswered == 0 && !RequestGuards.hasWaitingBytes(channel);
    if (isClosingIdle && tracker.hasAnswered && isIdle) {
      channel.close();
    }
  }

  /** Counts the requests of one connection, on its event loop. */
  private final class Tracker extends ChannelDuplexHandler {
    private final List<Runnable> waiting = new ArrayList<>();
    private volatile int unanswered;
    private boolean hasAnswered;
    private Duration readDelay = Duration.ZERO;

    /** Runs a task once the connection can be written to, or has ended. */
    void whenWritable(Channel channel, Runnable task) {
      if (channel.isWritable() || !channel.isActive()) {
        task.run();
      } else {
        waiting.add(task);
      }
    }

    private void runWaiting() {
      List<Runnable> due = List.copyOf(waiting);
      waiting.clear();
      due.forEach(Runnable::run);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (context.channel().isWritable()) {
        runWaiting();
      }
      context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest) {
        readDelay =
            unanswered == 0 ? ReadDelayUtils.getReadDelay(context.channel()) : Duration.ZERO;
        add(1);
      }
      context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      add(-unanswered);
      runWaiting();
      context.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof LastHttpContent && !isInformational(message)) {
        ChannelPromise answered = promise.unvoid();
        answered.addListener(future -> onAnswered(context.channel()));
        context.write(message, answered);
      } else {
        context.write(message, promise);
      }
    }

    /** An informational response, such as 100, precedes the response to a request. */
    private static boolean isInformational(Object message) {
      return message instanceof HttpResponse response
          && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void onAnswered(Channel channel) {
      if (channel.isActive()) {
        add(-1);
        hasAnswered = true;
        closeIfIdle(channel, this);
      }
    }

    /** Changes the count; only called on the event loop, so that no change is lost. */
    private void add(int change) {
      unanswered = unanswered + change;
      unansweredRequests.addAndGet(change);
    }
  }
}
