package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import org.testng.annotations.Test;

/**
 * Tests that a process of an entry outlives crowds of callers that keep to no rules. Its heap and
 * direct memory are a quarter of those of the deployment, and the crowds are as small.
 */
public class CrowdTest extends CrowdTestBase {

  private static final int METRICS_PORT = 9464;

  /** Creates a test with a quarter of the memory. */
  public CrowdTest() {
    super("-Xms24m -Xmx40m -XX:MaxDirectMemorySize=28m", 200);
  }

  private InetSocketAddress getMetricsAddress() {
    return new InetSocketAddress(getNode().getCallerAddress().getAddress(), METRICS_PORT);
  }

  private void checkCrowd(
      InetSocketAddress address, int connections, String start, String part, long bytes)
      throws Exception {
    try (Crowd crowd = new Crowd(address, connections, start, part, bytes)) {
      check(crowd);
    }
  }

  @Test(timeOut = 300_000)
  public void headsWithoutEnd() throws Exception {
    checkCrowd(getNode().getCallerAddress(), 150, newHead("/lookups/a"), "a: b\r\n", 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void headsOverTheLimitOfLongLines() throws Exception {
    String line = "X-Long: " + "y".repeat(4000) + "\r\n";
    checkCrowd(getNode().getCallerAddress(), 1500, newHead("/lookups/a"), line, 60_000);
  }

  @Test(timeOut = 300_000)
  public void requestLinesWithoutEnd() throws Exception {
    checkCrowd(getNode().getCallerAddress(), 3000, "GET /", "a".repeat(4096), 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void emptyLinesBeforeARequest() throws Exception {
    checkCrowd(getNode().getCallerAddress(), 50, "", "\r\n".repeat(2048), 4 << 20);
  }

  @Test(timeOut = 300_000)
  public void emptyLinesBetweenRequests() throws Exception {
    String request = newHead("/lookups/a") + "\r\n";
    checkCrowd(getNode().getCallerAddress(), 50, request, "\r\n".repeat(2048), 4 << 20);
  }

  /** The heads are within the limit of the configuration; targets take a while for each. */
  @Test(timeOut = 300_000)
  public void legalRequestsOfManyShortLines() throws Exception {
    String head = newHead("/lookups/a?delay_ms=2000") + "a:\r\n".repeat(4000) + "\r\n";
    assertTrue(head.length() < 16_384, head.length() + " bytes");
    checkCrowd(getNode().getCallerAddress(), 200, head, "", head.length());
  }

  /** The heads stop before their ends. */
  @Test(timeOut = 300_000)
  public void unfinishedHeadsOfManyShortLines() throws Exception {
    String head = newHead("/lookups/a") + "a:\r\n".repeat(4000);
    checkCrowd(getNode().getCallerAddress(), 200, head, "", head.length());
  }

  @Test(timeOut = 300_000)
  public void requestsSentAheadUnread() throws Exception {
    String request = newHead("/lookups/a") + "\r\n";
    checkCrowd(getNode().getCallerAddress(), 400, "", request.repeat(20), 4 << 20);
  }

  /**
   * The requests are as short as possible. A body before them makes the entry read much at a time,
   * and the first one takes a while.
   */
  @Test(timeOut = 300_000)
  public void shortRequestsSentAheadUnread() throws Exception {
    String body = newHead("/lookups/a") + "Content-Length: 262144\r\n\r\n" + "x".repeat(262_144);
    String first = body + newHead("/lookups/a?delay_ms=2000") + "\r\n";
    String request = "GET / HTTP/1.1\r\n\r\n";
    checkCrowd(getNode().getCallerAddress(), 60, first, request.repeat(200), 4 << 20);
  }

  @Test(timeOut = 300_000)
  public void bodiesOfSmallChunksAndTrailersWithoutEnd() throws Exception {
    String start = newHead("/lookups/a") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    checkCrowd(getNode().getCallerAddress(), 100, start, "a: b\r\n", 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void headsWithoutEndForReadiness() throws Exception {
    String start = "GET /ready HTTP/1.1\r\nHost: x\r\n";
    checkCrowd(getNode().getReadinessAddress(), 1500, start, "a: b\r\n", 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void unreadMetrics() throws Exception {
    String request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    checkCrowd(getMetricsAddress(), 400, "", request.repeat(40), 4 << 20);
  }
}
