package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.standins.fleet.FleetStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a process of an entry outlives crowds of callers that keep to no rules. Its heap and
 * direct memory are a quarter of those of the deployment, and the crowds are as small.
 */
public class CrowdTest {

  private static final String JAVA_OPTIONS =
      "-Xms24m -Xmx40m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
          + " -XX:MaxDirectMemorySize=28m -XX:+ExitOnOutOfMemoryError -XX:-UsePerfData"
          + " -Dreactor.netty.ioWorkerCount=1 -Dreactor.schedulers.defaultPoolSize=1"
          + " -Djava.net.preferIPv4Stack=true";

  /** The memory that the settings state, which the resident memory must not exceed. */
  private static final int MEMORY_MEGABYTES = 200;

  /** Bounds the descriptors once a crowd has left, with those of the class path. */
  private static final int MAX_DESCRIPTORS = 200;

  private static final Duration START_TIME = Duration.ofSeconds(60);
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(20);

  /** The time for which a crowd that has sent everything stays, so that it is read. */
  private static final Duration HOLD_TIME = Duration.ofSeconds(4);

  private static final int METRICS_PORT = 9464;
  private static final Path RUN_DIRECTORY =
      Path.of("target", "crowd", "run-" + System.currentTimeMillis()).toAbsolutePath();

  private FleetStandIn fleet;
  private EntryNode node;
  private ServingProbe probe;

  /** Starts an entry and waits until it serves. */
  @BeforeMethod
  public void setUp(java.lang.reflect.Method test) throws Exception {
    Path directory = Files.createDirectories(RUN_DIRECTORY.resolve(test.getName()));
    fleet = new FleetStandIn(0, 2);
    node =
        new EntryNode(0, fleet.getStore().getAddress(), directory, EntryOptions.ofOwnAddress(90));
    node.limitMemory(JAVA_OPTIONS, MEMORY_MEGABYTES);
    probe = new ServingProbe(0, List.of(Kind.LOOKUP, Kind.ORDER));
    long untilNanos = node.start().getStartNanos() + START_TIME.toNanos();
    assertEquals(probe.awaitServing(node, untilNanos), Optional.empty(), "not served at first");
  }

  /** Stops the entry. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    node.getLife().close();
    fleet.close();
  }

  private static String newHead(String path) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: "
        + FleetStandIn.HOST
        + "\r\nAuthorization: Bearer "
        + FleetStandIn.KEY
        + "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\n";
  }

  private InetSocketAddress getMetricsAddress() {
    return new InetSocketAddress(node.getCallerAddress().getAddress(), METRICS_PORT);
  }

  /** Checks the process and its memory while a crowd holds on, and that it serves afterwards. */
  private void check(Crowd crowd) throws Exception {
    Thread.sleep(HOLD_TIME.toMillis());
    long pid = node.getLife().getProcess().pid();
    String log = "see " + node.getLife().getLog();
    assertTrue(node.getLife().getProcess().isAlive(), "the process has ended; " + log);
    long peakKilobytes = getPeakKilobytes(pid);
    crowd.close();
    long untilNanos = System.nanoTime() + RECOVERY_TIME.toNanos();
    Optional<Kind> unserved = probe.awaitServing(node, untilNanos);
    assertTrue(node.getLife().getProcess().isAlive(), "the process has ended; " + log);
    assertEquals(unserved, Optional.empty(), "not served afterwards; " + log);
    long descriptors = countDescriptors(pid);
    System.out.printf("%s: peak %d kB, %d descriptors%n", log, peakKilobytes, descriptors);
    assertTrue(peakKilobytes < MEMORY_MEGABYTES << 10, peakKilobytes + " kB resident; " + log);
    assertTrue(descriptors <= MAX_DESCRIPTORS, descriptors + " descriptors; " + log);
  }

  private static long getPeakKilobytes(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .sum();
  }

  private static long countDescriptors(long pid) throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
      return descriptors.count();
    }
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
    checkCrowd(node.getCallerAddress(), 150, newHead("/lookups/a"), "a: b\r\n", 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void headsOverTheLimitOfLongLines() throws Exception {
    String line = "X-Long: " + "y".repeat(4000) + "\r\n";
    checkCrowd(node.getCallerAddress(), 300, newHead("/lookups/a"), line, 60_000);
  }

  @Test(timeOut = 300_000)
  public void requestLinesWithoutEnd() throws Exception {
    checkCrowd(node.getCallerAddress(), 300, "GET /", "a".repeat(4096), 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void emptyLinesBeforeARequest() throws Exception {
    checkCrowd(node.getCallerAddress(), 50, "", "\r\n".repeat(2048), 4 << 20);
  }

  @Test(timeOut = 300_000)
  public void emptyLinesBetweenRequests() throws Exception {
    String request = newHead("/lookups/a") + "\r\n";
    checkCrowd(node.getCallerAddress(), 50, request, "\r\n".repeat(2048), 4 << 20);
  }

  /** The heads are within the limit of the configuration; targets take a while for each. */
  @Test(timeOut = 300_000)
  public void legalRequestsOfManyShortLines() throws Exception {
    String head = newHead("/lookups/a?delay_ms=2000") + "a:\r\n".repeat(4000) + "\r\n";
    assertTrue(head.length() < 16_384, head.length() + " bytes");
    checkCrowd(node.getCallerAddress(), 200, head, "", head.length());
  }

  /** The heads stop before their ends. */
  @Test(timeOut = 300_000)
  public void unfinishedHeadsOfManyShortLines() throws Exception {
    String head = newHead("/lookups/a") + "a:\r\n".repeat(4000);
    checkCrowd(node.getCallerAddress(), 200, head, "", head.length());
  }

  @Test(timeOut = 300_000)
  public void requestsSentAheadUnread() throws Exception {
    String request = newHead("/lookups/a") + "\r\n";
    checkCrowd(node.getCallerAddress(), 40, "", request.repeat(20), 4 << 20);
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
    checkCrowd(node.getCallerAddress(), 60, first, request.repeat(200), 4 << 20);
  }

  @Test(timeOut = 300_000)
  public void bodiesOfSmallChunksAndTrailersWithoutEnd() throws Exception {
    String start = newHead("/lookups/a") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    checkCrowd(node.getCallerAddress(), 100, start, "a: b\r\n", 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void headsWithoutEndForReadiness() throws Exception {
    String start = "GET /ready HTTP/1.1\r\nHost: x\r\n";
    checkCrowd(node.getReadinessAddress(), 300, start, "a: b\r\n", 1 << 20);
  }

  @Test(timeOut = 300_000)
  public void unreadMetrics() throws Exception {
    String request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    checkCrowd(getMetricsAddress(), 40, "", request.repeat(40), 4 << 20);
  }
}
