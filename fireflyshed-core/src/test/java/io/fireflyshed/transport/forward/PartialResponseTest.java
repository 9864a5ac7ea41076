package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.transport.http.RawServer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a response which a target begins, gives up and replaces by another one for the same
 * request is taken for neither, also on a new connection.
 */
public class PartialResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private static final List<String> BEGINNINGS =
      List.of(
          "HTTP/1.1 200 OK\r\nDate: ",
          "HTTP/1.1 200 OK\r\nContent-Type: text/pl",
          "HTTP/1.1 200 OK\r\nX-Id: id\r\nA: b",
          "HTTP/1.1 200 ",
          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: b",
          "HTTP/1.1 200 OK\r\nDate: HTTP/1");

  /** Provides beginnings and kinds of requests. */
  @DataProvider
  public Object[][] beginnings() {
    List<Object[]> cases = new ArrayList<>();
    for (RequestKind kind : RequestKind.values()) {
      for (String beginning : BEGINNINGS) {
        cases.add(new Object[] {beginning, kind});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  @Test(dataProvider = "beginnings")
  public void firstRequestOfAConnectionGetsNoSuccessForAFailure(String beginning, RequestKind kind)
      throws Exception {
    try (RawServer server =
            new RawServer(
                (String head, Socket connection) ->
                    RawServer.write(
                        connection,
                        beginning
                            + "HTTP/1.1 500 Failed\r\nX-Id: id\r\nX-Signature: s\r\n"
                            + "Content-Length: 4\r\n\r\nfail"));
        TargetCaller caller = new TargetCaller(new HeaderCodec(), MonotonicClock.system())) {
      Target target = ForwardFixtures.newTarget("one", server.getAddress());
      Route route = ForwardFixtures.newRoute(kind, false, TIMEOUT);
      RoutedRequest request =
          ForwardFixtures.newRequest("id", route, MonotonicClock.system().nanoTime());
      String received = "unknown";
      try {
        received =
            describe(
                caller
                    .send(target, request, TIMEOUT, OptionalLong.empty())
                    .collectList()
                    .block(TIMEOUT));
      } catch (AttemptException e) {
        assertTrue(e.getOutcome() == Outcome.UNKNOWN, e.toString());
      }
      assertTrue(received.matches("unknown|500 .*"), received);
    }
  }

  private static String describe(List<ResponsePart> parts) {
    StringBuilder text = new StringBuilder();
    for (ResponsePart part : parts) {
      if (part instanceof ResponsePart.Head head) {
        text.append(head.response().status()).append(' ');
      } else if (part instanceof ResponsePart.BodyChunk chunk) {
        text.append(new String(chunk.bytes(), StandardCharsets.ISO_8859_1));
      }
    }
    return text.toString();
  }
}
