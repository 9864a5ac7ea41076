package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests that an entry serves callers inside the limits of the configuration. Its memory is that of
 * the deployment.
 */
public class LegalCallerTest extends CrowdTestBase {

  /** The limit of heads in the configuration of the stand-in. */
  private static final int MAX_HEADER_BYTES = 16_384;

  private static final int KEPT_CONNECTIONS = 5;
  private static final int SILENT_CONNECTIONS = 3000;
  private static final int REQUESTS_AHEAD = 40;
  private static final Duration DEADLINE = Duration.ofSeconds(30);

  /** Creates a test with the memory of the deployment. */
  public LegalCallerTest() {
    super("-Xms96m -Xmx160m -XX:MaxDirectMemorySize=112m", 330);
  }

  private CallerConnection connect() throws Exception {
    return new CallerConnection(getNode().getLife(), getNode().getCallerAddress());
  }

  private static CallerRequest newLookup(String id) {
    return new CallerRequest(Kind.LOOKUP, id, Duration.ZERO, DEADLINE, 0);
  }

  private static String newHead(CallerRequest request) {
    return request.getHead(request.id(), DEADLINE);
  }

  /** Creates a head that is as large as possible with a line as often as that fits. */
  private static String newLargeHead(CallerRequest request, String line) {
    String head = newHead(request);
    int lines = (MAX_HEADER_BYTES - head.length()) / line.length();
    return head.substring(0, head.length() - 2) + line.repeat(lines) + "\r\n";
  }

  private static void assertServed(CallerConnection connection, CallerRequest request) {
    CallerAnswer answer = connection.read(System.nanoTime() + DEADLINE.toNanos());
    assertTrue(answer.isSuccess(), request.id() + ": " + answer);
    assertEquals(answer.body(), request.getExpectedBody(request.id()));
  }

  @Test(timeOut = 300_000)
  public void largestHeadsAreServed() throws Exception {
    List<String> lines = List.of("a:\r\n", "X-Long: " + "y".repeat(4000) + "\r\n");
    try (CallerConnection connection = connect()) {
      for (String line : lines) {
        CallerRequest request = newLookup("large" + line.length());
        connection.send(newLargeHead(request, line));
        assertServed(connection, request);
      }
    }
  }

  @Test(timeOut = 300_000)
  public void requestsSentAheadAreServedInOrder() throws Exception {
    List<CallerRequest> requests = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < REQUESTS_AHEAD; i++) {
      requests.add(newLookup("ahead" + i));
      text.append(newHead(requests.get(i)));
    }
    try (CallerConnection connection = connect()) {
      connection.send(text.toString());
      for (CallerRequest request : requests) {
        assertServed(connection, request);
      }
    }
  }

  @Test(timeOut = 300_000)
  public void keptConnectionsAreServedBesideSilentOnes() throws Exception {
    List<CallerConnection> kept = new ArrayList<>();
    try {
      for (int i = 0; i < KEPT_CONNECTIONS; i++) {
        kept.add(connect());
        CallerRequest request = newLookup("first" + i);
        kept.get(i).send(newHead(request));
        assertServed(kept.get(i), request);
      }
      try (Crowd crowd = new Crowd(getNode().getCallerAddress(), SILENT_CONNECTIONS, "", "", 0)) {
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
          CallerRequest request = newLookup("second" + i);
          kept.get(i).send(newHead(request));
          assertServed(kept.get(i), request);
        }
        check(crowd);
      }
    } finally {
      kept.forEach(CallerConnection::close);
    }
  }
}
