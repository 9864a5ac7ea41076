package io.fireflyshed.bench.capacity;

import io.fireflyshed.bench.Figures;
import java.util.Map;

/**
 * Works out the load of each role at the target size from measured slopes and the intervals that
 * the processes use by default. The baseline of each figure is its limit.
 */
final class Projections {

  private static final double PROBE_SECONDS = 0.5;
  private static final double SHARED_PROBE_SECONDS = 2;
  private static final double PROBERS_PER_REPLICA = 2;
  private static final double PUBLISH_SECONDS = 0.2;
  private static final double REFRESH_SECONDS = 1;
  private static final double LEASE_RENEWAL_SECONDS = 3;
  private static final double STANDBY_READ_SECONDS = 5;
  private static final double CONFIGURATION_READERS_PER_ZONE = 2;
  private static final double CONFIGURATION_POLL_SECONDS = 0.5;
  private static final double CONFIGURATION_WRITES_PER_CHANGE = 1;
  private static final double ASSIGNMENT_WRITES_PER_FAILURE = 4;
  private static final double ORDERS_PER_SECOND = 5000;
  private static final double ORDER_COMMITS_PER_SECOND_OF_PROCESS = 1.5;
  private static final double ORDERS_PER_ZONE_COMMIT = 100;
  private static final double MICROS = 1e6;

  private final Map<String, Double> slopes;
  private final Figures figures;

  Projections(Map<String, Double> slopes, Figures figures) {
    this.slopes = slopes;
    this.figures = figures;
  }

  /** Prints all projections. */
  void print() {
    printMemory();
    printProcessorTime();
    printBytes();
    printTable();
    printTraffic();
  }

  private void printMemory() {
    double replica = getSlope("gate-memory") + getSlope("assignment-memory");
    print(
        "node-state-all-replicas",
        replica * TargetSize.REPLICAS,
        "bytes",
        TargetSize.MAX_CONTROL_BYTES);
    print(
        "node-state-own-zone",
        replica * TargetSize.REPLICAS_PER_ZONE,
        "bytes",
        TargetSize.MAX_CONTROL_BYTES);
  }

  private void printProcessorTime() {
    double publish = getSlope("gate-publish-time") / MICROS / PUBLISH_SECONDS;
    double probe = getSlope("probe-cpu") / MICROS;
    double decode = getSlope("assignment-decode-time") / MICROS / REFRESH_SECONDS;
    printCores("node-publish-all-replicas", publish * TargetSize.REPLICAS);
    printCores("node-publish-own-zone", publish * TargetSize.REPLICAS_PER_ZONE);
    printCores("node-probe-every-instance", probe * TargetSize.INSTANCES / PROBE_SECONDS);
    printCores("node-probe-shared-in-zone", probe * getSharedProbesPerSecond());
    printCores("node-decode-all-assignments", decode * TargetSize.REPLICAS);
    printCores("reader-decode-own-zone", decode * TargetSize.REPLICAS_PER_ZONE);
  }

  private void printBytes() {
    double probe = getSlope("probe-bytes");
    double row =
        getSlope("assignment-row") * TargetSize.INSTANCES / TargetSize.REPLICAS
            + getSlope("assignment-row-intercept");
    printBytes("node-probe-every-instance", probe * TargetSize.INSTANCES / PROBE_SECONDS);
    printBytes("node-probe-shared-in-zone", probe * getSharedProbesPerSecond());
    printBytes("node-read-all-assignments", row * TargetSize.REPLICAS / REFRESH_SECONDS);
    printBytes("reader-read-own-zone", row * TargetSize.REPLICAS_PER_ZONE / REFRESH_SECONDS);
  }

  private void printTable() {
    double reads = TargetSize.MAX_TABLE_READS_PER_SECOND;
    double writes = TargetSize.MAX_TABLE_WRITES_PER_SECOND;
    double configuration =
        TargetSize.ZONES * CONFIGURATION_READERS_PER_ZONE / CONFIGURATION_POLL_SECONDS;
    print("table-assignment-reads-each-node", TargetSize.NODES / REFRESH_SECONDS, "1/s", reads);
    print("table-assignment-reads-two-a-zone", 2 * TargetSize.ZONES, "1/s", reads);
    print("table-lease-reads-each-node", TargetSize.NODES / STANDBY_READ_SECONDS, "1/s", reads);
    print("table-configuration-reads", configuration, "1/s", reads);
    print("table-lease-writes", TargetSize.ZONES / LEASE_RENEWAL_SECONDS, "1/s", writes);
    print(
        "table-assignment-writes",
        TargetSize.FAILURES_PER_DAY * ASSIGNMENT_WRITES_PER_FAILURE / TargetSize.SECONDS_PER_DAY,
        "1/s",
        writes);
    print(
        "table-configuration-writes",
        TargetSize.CHANGES_PER_DAY * CONFIGURATION_WRITES_PER_CHANGE / TargetSize.SECONDS_PER_DAY,
        "1/s",
        writes);
    print(
        "table-order-writes-grouped-in-node",
        Math.min(2 * ORDERS_PER_SECOND, TargetSize.NODES * 2 * ORDER_COMMITS_PER_SECOND_OF_PROCESS),
        "1/s",
        writes);
    print(
        "table-order-writes-grouped-in-zone",
        2 * ORDERS_PER_SECOND / ORDERS_PER_ZONE_COMMIT,
        "1/s",
        writes);
  }

  private void printTraffic() {
    double requests = TargetSize.REQUESTS_PER_SECOND / TargetSize.NODES;
    double tokens = TargetSize.TOKENS_PER_SECOND / TargetSize.REQUESTS_PER_SECOND;
    double open = requests * tokens * TargetSize.SECONDS_PER_TOKEN;
    figures.print("node-requests", requests, "1/s");
    figures.print("node-open-streams", open, "1");
    figures.print("node-open-stream-memory", open * getSlope("stream-memory"), "bytes");
    double route = getSlope("route-time") * TargetSize.REPLICAS_PER_ZONE / 1e9;
    figures.print("node-routing-own-zone", requests * route, "cores");
  }

  private static double getSharedProbesPerSecond() {
    return TargetSize.INSTANCES_PER_ZONE
        * PROBERS_PER_REPLICA
        / TargetSize.NODES_PER_ZONE
        / SHARED_PROBE_SECONDS;
  }

  private double getSlope(String name) {
    return slopes.get(name);
  }

  private void printCores(String name, double cores) {
    print(name + "-cpu", cores, "cores", TargetSize.MAX_CONTROL_CORES);
  }

  private void printBytes(String name, double bytes) {
    print(name + "-bytes", bytes, "bytes/s", TargetSize.MAX_CONTROL_BYTES_PER_SECOND);
  }

  private void print(String name, double value, String unit, double limit) {
    figures.print("target-" + name, value, unit, limit);
  }
}
