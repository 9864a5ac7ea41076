package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that {@link TrafficServer} sends no requests of callers that have left. */
public class LeftCallersTest {

  private static final int CALLERS = 40;
  private static final Duration BUSY_TIME = Duration.ofMillis(400);

  /** Enough to occupy each event loop of the server. */
  private static final int BUSY_REQUESTS = 4 * Runtime.getRuntime().availableProcessors();

  private final List<HttpConnection> connections = new ArrayList<>();
  private StoppingServer server;

  /** Starts a server. */
  @BeforeMethod
  public void setUp() {
    server = new StoppingServer();
  }

  /** Closes the server and the connections of the callers. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    connections.forEach(HttpConnection::close);
    connections.clear();
    server.close();
  }

  private void sendBusyRequests() {
    for (int i = 0; i < BUSY_REQUESTS; i++) {
      HttpConnection connection = new HttpConnection(server.getAddress());
      connections.add(connection);
      String path = StoppingServer.BUSY_PATH + BUSY_TIME.toMillis();
      connection.send(StoppingServer.newRequest("busy" + i, path, 9000));
    }
  }

  /** Guards against requests that reach targets long after their callers have left. */
  @Test
  public void requestsThatWereReadAfterTheirCallersHadLeftAreNotSent() throws Exception {
    sendBusyRequests();
    Thread.sleep(BUSY_TIME.toMillis() / 4);
    for (int i = 0; i < CALLERS; i++) {
      try (HttpConnection connection = new HttpConnection(server.getAddress())) {
        connection.send(StoppingServer.newRequest("left" + i, StoppingServer.ORDER_PATH + 1, 9000));
      }
    }
    HttpConnection last = new HttpConnection(server.getAddress());
    connections.add(last);
    last.send(StoppingServer.newRequest("waiting", StoppingServer.ORDER_PATH + 1, 9000));
    assertEquals(last.read().orElseThrow().status(), 200);
    Thread.sleep(BUSY_TIME.multipliedBy(5).toMillis());
    int sent = 0;
    for (int i = 0; i < CALLERS; i++) {
      sent += server.isSent("left" + i) ? 1 : 0;
    }
    assertEquals(sent, 0, "requests of callers that had left were sent");
  }
}
