package io.fireflyshed.bench.capacity;

/** Holds the size for which capacity is worked out; zones are taken as equal. */
final class TargetSize {

  static final double NODES = 3200;
  static final double ZONES = 36;
  static final double REPLICAS = 10_000;
  static final double ACCELERATORS = 80_000;
  static final double REQUESTS_PER_SECOND = 120_000;
  static final double TOKENS_PER_SECOND = 32e6;
  static final double SECONDS_PER_TOKEN = 0.072;
  static final double CHANGES_PER_DAY = 17_000;
  static final double FAILURES_PER_DAY = 840;

  /** The instances, if each has one accelerator, which is the most that there can be. */
  static final double INSTANCES = ACCELERATORS;

  static final double NODES_PER_ZONE = NODES / ZONES;
  static final double REPLICAS_PER_ZONE = REPLICAS / ZONES;
  static final double INSTANCES_PER_ZONE = INSTANCES / ZONES;

  static final double MAX_CONTROL_CORES = 0.02;
  static final double MAX_CONTROL_BYTES = 128e6;
  static final double MAX_CONTROL_BYTES_PER_SECOND = 15e3;
  static final double MAX_TABLE_READS_PER_SECOND = 2000;
  static final double MAX_TABLE_WRITES_PER_SECOND = 300;

  static final double SECONDS_PER_DAY = 86_400;

  private TargetSize() {}
}
