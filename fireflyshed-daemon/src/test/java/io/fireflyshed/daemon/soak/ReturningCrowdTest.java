package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.standins.fleet.FleetStandIn;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * Tests that an entry answers an ordinary caller that retries while connections of a crowd send
 * requests ahead, read no answers and are made again once they have ended. Its memory is that of
 * the deployment.
 */
public class ReturningCrowdTest extends CrowdTestBase {

  private static final Duration ENDLESS = Duration.ofDays(1);
  private static final Duration START_TIME = Duration.ofSeconds(4);

  /** The time for an ordinary caller that retries beside a crowd. */
  private static final Duration SERVING_TIME = Duration.ofSeconds(30);

  /** Creates a test with the memory of the deployment. */
  public ReturningCrowdTest() {
    super("-Xms96m -Xmx160m -XX:MaxDirectMemorySize=112m", 330);
  }

  private void checkCrowd(int connections, String part, Duration stallTime) throws Exception {
    try (ReturningCrowd crowd =
        new ReturningCrowd(getNode().getCallerAddress(), connections, "", part, stallTime)) {
      Thread.sleep(START_TIME.toMillis());
      long beginNanos = System.nanoTime();
      Optional<Kind> unserved = awaitServing(SERVING_TIME);
      System.out.printf(
          "%d connections made; served beside: %b, after %d ms%n",
          crowd.getConnected(),
          unserved.isEmpty(),
          Duration.ofNanos(System.nanoTime() - beginNanos).toMillis());
      check(crowd);
      assertEquals(unserved, Optional.empty(), "not served beside the crowd");
    }
  }

  private static String newRefusedRequests() {
    String request =
        "GET /unknown HTTP/1.1\r\nHost: " + FleetStandIn.HOST + "\r\nX-Attempt-Id: crowd\r\n\r\n";
    return request.repeat(100);
  }

  @Test(timeOut = 300_000)
  public void manyConnectionsOfRefusedRequests() throws Exception {
    checkCrowd(300, newRefusedRequests(), ENDLESS);
  }

  @Test(timeOut = 300_000)
  public void fewConnectionsOfRefusedRequests() throws Exception {
    checkCrowd(3, newRefusedRequests(), Duration.ofMillis(250));
  }

  @Test(timeOut = 300_000)
  public void headsOfManyLines() throws Exception {
    checkCrowd(200, newHead("/lookups/a") + "a:\r\n".repeat(3000) + "\r\n", ENDLESS);
  }

  @Test(timeOut = 300_000)
  public void ordersWithBodies() throws Exception {
    String head = newHead("/orders/a").replaceFirst("GET", "POST");
    checkCrowd(200, head + "Content-Length: 1000\r\n\r\n" + "x".repeat(1000), ENDLESS);
  }
}
