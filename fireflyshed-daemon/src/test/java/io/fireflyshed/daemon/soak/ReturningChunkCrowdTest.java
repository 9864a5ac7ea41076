package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * Tests that an entry answers an ordinary caller that retries while connections of a crowd send
 * bodies without end in chunks of one byte. Its memory is that of the deployment.
 */
public class ReturningChunkCrowdTest extends CrowdTestBase {

  private static final int CONNECTIONS = 200;
  private static final Duration ENDLESS = Duration.ofDays(1);
  private static final Duration START_TIME = Duration.ofSeconds(4);

  /** The time for an ordinary caller that retries beside a crowd. */
  private static final Duration SERVING_TIME = Duration.ofSeconds(30);

  /** Creates a test with the memory of the deployment. */
  public ReturningChunkCrowdTest() {
    super("-Xms96m -Xmx160m -XX:MaxDirectMemorySize=112m", 330);
  }

  @Test(timeOut = 300_000)
  public void chunksOfOneByte() throws Exception {
    String head =
        newHead("/orders/a").replaceFirst("GET", "POST") + "Transfer-Encoding: chunked\r\n\r\n";
    String part = "1\r\nx\r\n".repeat(1000);
    try (ReturningCrowd crowd =
        new ReturningCrowd(getNode().getCallerAddress(), CONNECTIONS, head, part, ENDLESS)) {
      Thread.sleep(START_TIME.toMillis());
      Optional<Kind> unserved = awaitServing(SERVING_TIME);
      check(crowd);
      assertEquals(unserved, Optional.empty(), "not served beside the crowd");
    }
  }
}
