package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.transport.http.HttpCall;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.http.HttpReply;
import io.fireflyshed.transport.http.RawServer;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the beginning of a surplus response, after which the peer writes no more of it, never
 * becomes a part of the response to the next request.
 */
public class MergedResponseTest {

  /** When the beginning is written. */
  private enum Timing {
    WITH_RESPONSE,
    ON_IDLE_CONNECTION,
    BEFORE_NEXT_RESPONSE
  }

  private static final List<String> BEGINNINGS =
      List.of(
          "HTTP/1.1 200 OK\r\nDate: ",
          "HTTP/1.1 200 OK\r\nContent-Type: text/pl",
          "HTTP/1.1 200 OK\r\nA:b\r\nC",
          "HTTP/1.1 200 OK\r\nA: b\r\n ",
          "HTTP/1.1 200 OK\r\nX-At",
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r",
          "HTTP/1.1 200 OK",
          "HTTP/1.1 200 ",
          "HTTP/1.1 200",
          "HTTP/1.1 20",
          "HTTP/1.1 ",
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nA: b",
          "HTTP/1.1 102 Processing\r\nA: b",
          "x");

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int FAILURE = 500;
  private static final int PAUSE_MILLIS = 20;

  private volatile String beginning = "";
  private volatile Timing timing = Timing.WITH_RESPONSE;

  /** The beginning to write when the next request of a connection was read. */
  private volatile Optional<Socket> pending = Optional.empty();

  private void answer(String head, Socket connection) throws IOException, InterruptedException {
    String id = head.replaceAll("(?si).*\r\nx-id: ([^\r]*).*", "$1");
    if (pending.equals(Optional.of(connection))) {
      pending = Optional.empty();
      RawServer.write(connection, beginning);
      Thread.sleep(PAUSE_MILLIS);
    }
    boolean isFirst = id.equals("first");
    String response =
        (isFirst ? "HTTP/1.1 200 OK" : "HTTP/1.1 500 Failed")
            + "\r\nX-Id: "
            + id
            + "\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\n"
            + (isFirst ? "good" : "fail");
    RawServer.write(
        connection, isFirst && timing == Timing.WITH_RESPONSE ? response + beginning : response);
    if (isFirst && timing == Timing.ON_IDLE_CONNECTION) {
      Thread.sleep(PAUSE_MILLIS);
      RawServer.write(connection, beginning);
    } else if (isFirst && timing == Timing.BEFORE_NEXT_RESPONSE) {
      pending = Optional.of(connection);
    }
  }

  /** Provides beginnings and the times at which they are written. */
  @DataProvider
  public Object[][] beginnings() {
    List<Object[]> cases = new ArrayList<>();
    for (Timing time : Timing.values()) {
      for (String text : BEGINNINGS) {
        cases.add(new Object[] {text, time});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  private RawServer start(String newBeginning, Timing newTiming) throws IOException {
    beginning = newBeginning;
    timing = newTiming;
    pending = Optional.empty();
    return new RawServer(this::answer);
  }

  @Test(dataProvider = "beginnings")
  public void callerOfATargetGetsNoSuccessForAFailure(String text, Timing time) throws Exception {
    try (RawServer server = start(text, time);
        TargetCaller caller = new TargetCaller(new HeaderCodec(), MonotonicClock.system())) {
      Target target = ForwardFixtures.newTarget("one", server.getAddress());
      assertEquals(send(caller, target, "first"), 200);
      Thread.sleep(3 * PAUSE_MILLIS);
      for (int i = 0; i < 3; i++) {
        int status = send(caller, target, "second-" + i);
        assertTrue(status == FAILURE || status == 0 && i == 0, i + ": " + status);
      }
      assertEquals(send(caller, target, "third"), FAILURE);
    }
  }

  /**
   * Returns the status of a complete response, or 0 if it is unknown what became of the request.
   */
  private static int send(TargetCaller caller, Target target, String id) {
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT);
    RoutedRequest request =
        ForwardFixtures.newRequest(id, route, MonotonicClock.system().nanoTime());
    try {
      List<ResponsePart> parts =
          caller.send(target, request, TIMEOUT, OptionalLong.empty()).collectList().block(TIMEOUT);
      TargetAnswer response = ((ResponsePart.Head) parts.get(0)).response();
      assertEquals(response.requestId(), Optional.of(id));
      return response.status();
    } catch (AttemptException e) {
      assertEquals(e.getOutcome(), Outcome.UNKNOWN, e.toString());
      return 0;
    }
  }

  @Test(dataProvider = "beginnings")
  public void httpCallerGetsNoSuccessForAFailure(String text, Timing time) throws Exception {
    try (RawServer server = start(text, time);
        HttpCaller caller = new HttpCaller("merged")) {
      assertEquals(call(caller, server, "first"), 200);
      Thread.sleep(3 * PAUSE_MILLIS);
      for (int i = 0; i < 3; i++) {
        int status = call(caller, server, "second");
        assertTrue(status == FAILURE || status == 0 && i == 0, i + ": " + status);
      }
    }
  }

  private static int call(HttpCaller caller, RawServer server, String id) throws Exception {
    HttpCall call =
        new HttpCall(
            "test", server.getAddress(), HttpMethod.GET, "/", Map.of("X-Id", id), "", TIMEOUT);
    try {
      HttpReply reply = caller.send(call).get(TIMEOUT.toSeconds() + 1, TimeUnit.SECONDS);
      return reply.status();
    } catch (ExecutionException e) {
      return 0;
    }
  }

  @Test
  public void connectionOfASoundTargetIsUsedAgain() throws Exception {
    try (RawServer server = start("", Timing.WITH_RESPONSE);
        TargetCaller caller = new TargetCaller(new HeaderCodec(), MonotonicClock.system())) {
      Target target = ForwardFixtures.newTarget("one", server.getAddress());
      for (int i = 0; i < 5; i++) {
        assertEquals(send(caller, target, "first"), 200);
        Thread.sleep(PAUSE_MILLIS);
      }
      assertEquals(server.countRequests(), 5);
      assertTrue(server.countConnections() < 5, server.countConnections() + " connections");
    }
  }
}
