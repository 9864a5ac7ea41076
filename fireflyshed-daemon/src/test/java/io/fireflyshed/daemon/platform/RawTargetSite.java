package io.fireflyshed.daemon.platform;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.standins.fleet.FleetStandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry in front of targets that answer byte by byte as a script says. */
final class RawTargetSite implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final byte[] BODY = "body".getBytes();

  private final RawTarget.Script script;
  private final FleetStandIn fleet = new FleetStandIn(0, 0);
  private final List<RawTarget> targets = new CopyOnWriteArrayList<>();
  private final PlatformSettings settings;
  private final PlatformEntry entry;
  private final AtomicInteger lastId = new AtomicInteger();

  /**
   * Starts one target and an entry, and waits until requests for which the target answers with
   * success are served.
   *
   * @param script answers the requests to all targets, not null
   * @param paths the paths of these requests, not null
   */
  RawTargetSite(RawTarget.Script script, String... paths) throws Exception {
    this(script, OptionalLong.empty(), paths);
  }

  /** Starts an entry that is told to have a certain amount of memory. */
  RawTargetSite(RawTarget.Script script, OptionalLong memoryBytes, String... paths)
      throws Exception {
    this.script = script;
    settings = RehearseCommand.newSettings(fleet, "entry-1", memoryBytes);
    entry = new PlatformEntry(settings);
    startTarget("one");
    entry.start();
    for (String path : paths) {
      awaitServed(path);
    }
  }

  private void awaitServed(String path) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!send(path, BODY).isSuccess()) {
      assertTrue(System.nanoTime() - deadline < 0, "the entry does not serve");
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  /** Waits until the entry has registered, before which it may retry hardly any request. */
  void awaitRetries() throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!EntryMetricsUtils.isRetryAllowed(settings)) {
      assertTrue(System.nanoTime() - deadline < 0, "the entry may retry no request");
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  /** Starts a target of the plain service and of the model, which is registered as both. */
  void startTarget(String id) throws IOException {
    RawTarget target = new RawTarget(script);
    targets.add(target);
    fleet.getStore().put("servers", "desk-" + id, JsonUtils.toText(newRecord("desk", target)));
    ObjectNode head = newRecord("models", target);
    head.putObject("group")
        .put("name", FleetStandIn.MODEL + ".1")
        .put("epoch", 1)
        .put("rank", 0)
        .put("state", "open");
    fleet.getStore().put("servers", "head-" + id, JsonUtils.toText(head));
  }

  private static ObjectNode newRecord(String service, RawTarget target) {
    return JsonUtils.getMapper()
        .createObjectNode()
        .put("service", service)
        .put("address", "127.0.0.1:" + target.getPort())
        .put("zone", "a")
        .put("version", "v1")
        .put("slots", 18)
        .put("state", "ready")
        .put("born", 1);
  }

  /** Sends a POST request with the next id on a new connection. */
  RawCaller.Response send(String path, byte[] body) throws IOException {
    try (RawCaller caller = newCaller()) {
      return caller.send("POST", path, newId(), body);
    }
  }

  /** Returns the sum of the values of a metric of the entry over its tags. */
  double getMetric(String name) {
    return EntryMetricsUtils.getSum(settings, name);
  }

  RawCaller newCaller() throws IOException {
    return new RawCaller(settings.listen().getPort());
  }

  String newId() {
    return "id-" + lastId.incrementAndGet();
  }

  /** Returns the id of the last request. */
  String getLastId() {
    return "id-" + lastId;
  }

  List<RawTarget> getTargets() {
    return targets;
  }

  @Override
  public void close() throws IOException {
    entry.close();
    fleet.close();
    for (RawTarget target : targets) {
      target.close();
    }
  }
}
