package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.transport.http.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an interim response which arrives alone doesn't stop the reading of the response. */
public class InterimResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int PAUSE_MILLIS = 20;

  private static void answer(String head, Socket connection)
      throws IOException, InterruptedException {
    for (String status : List.of("100 Continue", "103 Early Hints")) {
      RawServer.write(connection, "HTTP/1.1 " + status + "\r\n\r\n");
      Thread.sleep(PAUSE_MILLIS);
    }
    RawServer.write(
        connection,
        "HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\ngood");
  }

  /** Provides requests on kept connections and on connections of their own. */
  @DataProvider
  public Object[][] kinds() {
    return new Object[][] {{RequestKind.IDEMPOTENT}, {RequestKind.NON_IDEMPOTENT}};
  }

  @Test(dataProvider = "kinds")
  public void responseArrivesAfterInterimResponses(RequestKind kind) throws Exception {
    try (RawServer server = new RawServer(InterimResponseTest::answer);
        TargetCaller caller = new TargetCaller(new HeaderCodec(), MonotonicClock.system())) {
      Target target = ForwardFixtures.newTarget("one", server.getAddress());
      Route route = ForwardFixtures.newRoute(kind, false, TIMEOUT);
      for (int i = 0; i < 2; i++) {
        RoutedRequest request =
            ForwardFixtures.newRequest("id", route, MonotonicClock.system().nanoTime());
        List<ResponsePart> parts =
            caller
                .send(target, request, TIMEOUT, OptionalLong.empty())
                .collectList()
                .block(TIMEOUT);
        TargetAnswer response = ((ResponsePart.Head) parts.get(0)).response();
        assertEquals(response.status(), 200);
      }
    }
  }
}
