package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.standins.fleet.FleetStandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Runs an entry as a process for tests of crowds, with the threads of the deployment. */
abstract class CrowdTestBase {

  private static final String JAVA_OPTIONS =
      "-Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:+ExitOnOutOfMemoryError"
          + " -XX:-UsePerfData -Dreactor.netty.ioWorkerCount=1"
          + " -Dreactor.schedulers.defaultPoolSize=1 -Djava.net.preferIPv4Stack=true";

  /** Bounds the descriptors once a crowd has left, with those of the class path. */
  private static final int MAX_DESCRIPTORS = 200;

  private static final Duration START_TIME = Duration.ofSeconds(60);
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(20);

  /** The time for which a crowd that has sent everything stays, so that it is read. */
  private static final Duration HOLD_TIME = Duration.ofSeconds(4);

  private static final Path RUN_DIRECTORY =
      Path.of("target", "crowd", "run-" + System.currentTimeMillis()).toAbsolutePath();

  private final String memoryOptions;

  /** The memory that the settings state, which the resident memory must not exceed. */
  private final int memoryMegabytes;

  private FleetStandIn fleet;
  private EntryNode node;
  private ServingProbe probe;

  CrowdTestBase(String memoryOptions, int memoryMegabytes) {
    this.memoryOptions = memoryOptions;
    this.memoryMegabytes = memoryMegabytes;
  }

  /** Starts an entry and waits until it serves. */
  @BeforeMethod
  public void setUp(java.lang.reflect.Method test) throws Exception {
    Path directory = Files.createDirectories(RUN_DIRECTORY.resolve(test.getName()));
    fleet = new FleetStandIn(0, 2);
    node =
        new EntryNode(0, fleet.getStore().getAddress(), directory, EntryOptions.ofOwnAddress(90));
    node.limitMemory(memoryOptions + " " + JAVA_OPTIONS, memoryMegabytes);
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

  static String newHead(String path) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: "
        + FleetStandIn.HOST
        + "\r\nAuthorization: Bearer "
        + FleetStandIn.KEY
        + "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\n";
  }

  EntryNode getNode() {
    return node;
  }

  /** Waits until the entry serves, and returns a kind of request that it doesn't serve in time. */
  Optional<Kind> awaitServing(Duration time) throws InterruptedException {
    return probe.awaitServing(node, System.nanoTime() + time.toNanos());
  }

  /** Checks the process and its memory while a crowd holds on, and that it serves afterwards. */
  void check(AutoCloseable crowd) throws Exception {
    Thread.sleep(HOLD_TIME.toMillis());
    long pid = node.getLife().getProcess().pid();
    String log = "see " + node.getLife().getLog();
    assertTrue(node.getLife().getProcess().isAlive(), "the process has ended; " + log);
    long peakKilobytes = getPeakKilobytes(pid);
    crowd.close();
    Optional<Kind> unserved = awaitServing(RECOVERY_TIME);
    assertTrue(node.getLife().getProcess().isAlive(), "the process has ended; " + log);
    assertEquals(unserved, Optional.empty(), "not served afterwards; " + log);
    long descriptors = countDescriptors(pid);
    System.out.printf("%s: peak %d kB, %d descriptors%n", log, peakKilobytes, descriptors);
    assertTrue(peakKilobytes < memoryMegabytes << 10, peakKilobytes + " kB resident; " + log);
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
}
