package io.fireflyshed.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.state.clock.MonotonicClock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.netty.NettyPipeline;

/** Tests how many requests of a connection {@link RequestGuard} passes on at a time. */
public class RequestGuardTurnsTest {

  private static final int REQUESTS = 1000;

  /** Some turns are run together when the tasks of the embedded event loop are run. */
  private static final int MAX_REQUESTS_PER_RUN = 64;

  private static final int MAX_TURNS = 1000;
  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  private ByteBudget budget;
  private EmbeddedChannel channel;
  private final List<Boolean> waiting = new ArrayList<>();
  private int answered;

  /** Opens a connection whose requests are answered as soon as they are decoded. */
  @BeforeMethod
  public void setUp() {
    answered = 0;
    waiting.clear();
    open(4 << 20);
  }

  private void open(long budgetBytes) {
    budget = new ByteBudget(budgetBytes, MonotonicClock.system(), ByteBudget.Listener.none());
    RequestGuards guards =
        new RequestGuards(
            Optional::empty, budget, MonotonicClock.system(), 10, new SimpleMeterRegistry());
    channel = new EmbeddedChannel();
    channel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpServerCodec());
    new RequestGuard(guards, channel).addTo(channel.pipeline());
    channel
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                  answer(context);
                }
                ReferenceCountUtil.release(message);
              }
            });
  }

  /** Checks that nothing is held after the connection. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    channel.close();
    channel.finishAndReleaseAll();
    assertEquals(budget.getUsed(), 0);
  }

  private void answer(ChannelHandlerContext context) {
    answered++;
    waiting.add(RequestGuards.hasWaitingBytes(channel));
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
    response.headers().set("content-length", 0);
    context.writeAndFlush(response);
  }

  private static ByteBuf newBytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private void setWritable(boolean isWritable) {
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, isWritable);
  }

  @Test
  public void fewRequestsSentAheadAreServedInATurn() {
    channel.pipeline().fireChannelRead(newBytes(REQUEST.repeat(REQUESTS)));
    assertTrue(answered > 0 && answered <= MAX_REQUESTS_PER_RUN, answered + " answered");
    for (int turn = 0; turn < MAX_TURNS && answered < REQUESTS; turn++) {
      int before = answered;
      channel.runPendingTasks();
      assertTrue(answered - before <= MAX_REQUESTS_PER_RUN, answered - before + " in a run");
    }
    assertEquals(answered, REQUESTS);
  }

  @Test
  public void requestsWaitWhileAnswersAreUnread() {
    setWritable(false);
    channel.writeInbound(newBytes(REQUEST.repeat(3)));
    assertEquals(answered, 0);
    setWritable(true);
    for (int turn = 0; turn < MAX_TURNS && answered < 3; turn++) {
      channel.runPendingTasks();
    }
    assertEquals(answered, 3);
  }

  @Test
  public void requestsSentAheadAreKnownWhileOneBeforeIsAnswered() {
    channel.writeInbound(newBytes(REQUEST.repeat(3)));
    assertEquals(waiting, List.of(true, true, false));
  }

  @Test
  public void chunkedBodyGoesOnWhenThereIsNoRoomToWait() {
    channel.finishAndReleaseAll();
    open(16 << 10);
    String head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    channel.pipeline().fireChannelRead(newBytes(head + "1\r\nx\r\n".repeat(10_000) + "0\r\n\r\n"));
    assertEquals(answered, 1);
    assertTrue(channel.isOpen());
  }

  @Test
  public void largeHeadIsDecodedInSeveralTurns() {
    String lines = "a:\r\n".repeat(3000);
    channel.pipeline().fireChannelRead(newBytes("GET / HTTP/1.1\r\n" + lines + "\r\n"));
    assertEquals(answered, 0, "answered in the first turn");
    for (int turn = 0; turn < MAX_TURNS && answered == 0; turn++) {
      channel.runPendingTasks();
    }
    assertEquals(answered, 1);
  }
}
