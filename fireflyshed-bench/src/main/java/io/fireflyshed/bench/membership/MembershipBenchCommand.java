package io.fireflyshed.bench.membership;

import com.sun.management.ThreadMXBean;
import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.membership.MembershipMessage;
import io.fireflyshed.coordination.membership.MembershipSettings;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingParsers;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.peer.PeerFrameUtils;
import io.fireflyshed.standins.peer.MembershipNetwork;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;

/**
 * Measures the load of membership on a process, and how fast and how rightly it finds the dead,
 * against heartbeats between all.
 */
public final class MembershipBenchCommand implements Command {

  private static final Setting<Long> SEED =
      Setting.of("seed", "a number", "1", "seed of the schedule", Long::parseLong);

  private static final Setting<Integer> PROCESSES =
      new Setting<>(
          "processes",
          "9 to 1800, a multiple of 9",
          "9,90,900",
          "number of processes; may be given several times",
          false,
          SettingArity.MANY,
          SettingParsers.newIntegerParser(9, 1_800));

  private static final Setting<Integer> SECONDS =
      Setting.ofInteger("seconds", 10, 600, 120, "measured seconds of virtual time");

  private static final int ZONES = 9;
  private static final int TARGET_PROCESSES = 3_200;
  private static final double TARGET_BYTES = 15_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int SEGMENT_HEADER_BYTES = 52;
  private static final int SEGMENTS_PER_MESSAGE = 2;
  private static final int LENGTH_BYTES = 4;
  private static final double CONNECTION_BYTES = 10 * SEGMENT_HEADER_BYTES + 2 * 60;
  private static final Duration MAX_DETECTION = Duration.ofSeconds(60);
  private static final Duration STEP = Duration.ofMillis(500);
  private static final Duration PAUSE = Duration.ofSeconds(5);

  /** What was measured at one size. */
  private record Result(double bytesPerSecond, double coreShare, double heapBytes) {}

  @Override
  public String getName() {
    return "bench membership";
  }

  @Override
  public String getSummary() {
    return "Measures membership at several sizes in virtual time.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(SEED, PROCESSES, SECONDS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Figures figures = new Figures(out);
    Result last = null;
    Result before = null;
    int lastSize = 0;
    int sizeBefore = 0;
    boolean isValid = true;
    for (int processes : values.getAll(PROCESSES)) {
      before = last;
      sizeBefore = lastSize;
      lastSize = processes;
      int seconds = values.get(SECONDS);
      long heapBefore = readHeap();
      MembershipNetwork network =
          new MembershipNetwork(
              values.get(SEED),
              ZONES,
              processes / ZONES,
              MembershipSettings.ofDefaults(),
              MembershipBenchCommand::sizeOf);
      last = measureLoad(network, processes, seconds, heapBefore);
      print(figures, processes, last);
      isValid &= measureFaults(network, processes, figures);
    }
    if (before != null) {
      printTarget(figures, last, lastSize, before, sizeBefore);
    }
    return isValid ? EXIT_OK : EXIT_FAILED;
  }

  private static Result measureLoad(
      MembershipNetwork network, int processes, int seconds, long heapBefore) {
    network.run(Duration.ofSeconds(30));
    double heap = (double) (readHeap() - heapBefore) / processes;
    long bytesBefore = countBytes(network, processes);
    long cpuBefore = readCpuNanos();
    network.run(Duration.ofSeconds(seconds));
    double cpu = (readCpuNanos() - cpuBefore) / NANOS_PER_SECOND / seconds / processes;
    double bytes = (double) (countBytes(network, processes) - bytesBefore) / seconds / processes;
    return new Result(bytes, cpu, heap);
  }

  private static boolean measureFaults(MembershipNetwork network, int processes, Figures figures) {
    for (int i = 0; i < Math.max(1, processes / 20); i++) {
      network.pause(i * 7 % processes, PAUSE);
    }
    network.run(Duration.ofSeconds(20));
    int falseDeaths = network.countFalseDeaths();
    figures.print("false-deaths-after-pauses-" + processes, falseDeaths, "pairs");
    int victim = processes / 2;
    network.kill(victim);
    Duration passed = Duration.ZERO;
    while (network.countBelievers(victim) > 0 && passed.compareTo(MAX_DETECTION) < 0) {
      network.run(STEP);
      passed = passed.plus(STEP);
    }
    figures.print("detection-at-all-" + processes, passed.toMillis() / 1e3, "s");
    return passed.compareTo(MAX_DETECTION) < 0;
  }

  private static void print(Figures figures, int processes, Result result) {
    double baseline = computeFullMesh(processes);
    figures.print("bytes-per-second-" + processes, result.bytesPerSecond, "B/s", baseline);
    figures.print("core-share-" + processes, result.coreShare, "cores");
    figures.print("heap-" + processes, result.heapBytes, "B");
  }

  private static void printTarget(
      Figures figures, Result last, int size, Result before, int sizeBefore) {
    double more = (double) (TARGET_PROCESSES - size) / (size - sizeBefore);
    double bytes = extrapolate(before.bytesPerSecond, last.bytesPerSecond, more);
    double total = bytes + CONNECTION_BYTES;
    figures.print("bytes-per-second-at-3200", total, "B/s", computeFullMesh(TARGET_PROCESSES));
    figures.print("bytes-against-target", total / TARGET_BYTES, "ratio");
    figures.print(
        "core-share-at-3200", extrapolate(before.coreShare, last.coreShare, more), "cores");
    figures.print("heap-at-3200", extrapolate(before.heapBytes, last.heapBytes, more), "B");
  }

  private static double extrapolate(double before, double last, double more) {
    return last + Math.max(0, last - before) * more;
  }

  /** Gets the bytes of a heartbeat each second to and from everybody else. */
  private static double computeFullMesh(int processes) {
    return 2.0 * (processes - 1) * sizeOf(new MembershipMessage.Ping(1, List.of()));
  }

  private static int sizeOf(MembershipMessage message) {
    int payload = PeerFrameUtils.toFrame(message).getSerializedSize() + LENGTH_BYTES;
    return payload + SEGMENTS_PER_MESSAGE * SEGMENT_HEADER_BYTES;
  }

  private static long countBytes(MembershipNetwork network, int processes) {
    long sum = 0;
    for (int i = 0; i < processes; i++) {
      sum += network.getBytes(i);
    }
    return sum;
  }

  private static long readCpuNanos() {
    return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadCpuTime();
  }

  private static long readHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
