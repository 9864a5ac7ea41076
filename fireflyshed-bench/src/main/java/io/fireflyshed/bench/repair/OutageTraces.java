package io.fireflyshed.bench.repair;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws outages of one availability zone. Not thread safe.
 *
 * <p>For each 40,000 instances (80,000 accelerators) and day, 100 instances fail for hours and 740
 * restart. A given number of pauses comes on top, which leave the weights as they are; a fifth of
 * them come several times in a row.
 */
final class OutageTraces {

  private static final double INSTANCES = 40_000;
  private static final double DAY_SECONDS = 86_400;
  private static final double FAILURE_RATE = 100 / INSTANCES / DAY_SECONDS;
  private static final double RESTART_RATE = 740 / INSTANCES / DAY_SECONDS;
  private static final double REPEAT_CHANCE = 0.2;
  private static final int MAX_REPEATS = 5;
  private static final double FAILURE_MIN_SECONDS = 3_600;
  private static final double FAILURE_MAX_SECONDS = 21_600;
  private static final double RESTART_MIN_SECONDS = 120;
  private static final double RESTART_MAX_SECONDS = 480;
  private static final double PAUSE_MIN_SECONDS = 1;
  private static final double PAUSE_MAX_SECONDS = 16;
  private static final double REPEAT_GAP_SECONDS = 30;
  private static final double RACK_MIN_SECONDS = 1_800;
  private static final double RACK_MAX_SECONDS = 5_400;

  /** The instances that share a rack. */
  static final int RACK_INSTANCES = 32;

  /** The share of time for which an instance is out by failures and restarts. */
  static final double MEAN_OUT_SHARE =
      FAILURE_RATE * (FAILURE_MIN_SECONDS + FAILURE_MAX_SECONDS) / 2
          + RESTART_RATE * (RESTART_MIN_SECONDS + RESTART_MAX_SECONDS) / 2;

  private final UniformRandomProvider random;
  private final double endSeconds;
  private final double pauseRate;
  private final List<Outage> outages = new ArrayList<>();

  OutageTraces(UniformRandomProvider random, int days, int pausesPerDay) {
    this.random = random;
    this.pauseRate = pausesPerDay / INSTANCES / DAY_SECONDS;
    this.endSeconds = days * DAY_SECONDS;
  }

  /** Draws the outages of every instance that any number of spares may hold. */
  List<Outage> draw(ZoneShape shape, boolean hasRackLoss) {
    ZoneShape largest = shape.withSpares(shape.instancesPerReplica() - 1);
    int rackDomain = hasRackLoss ? random.nextInt(shape.domains()) : -1;
    int racks = shape.replicasPerDomain() * shape.instancesPerReplica() / RACK_INSTANCES;
    int rack = hasRackLoss ? random.nextInt(Math.max(1, racks)) : -1;
    double rackStart = random.nextDouble() * endSeconds * 0.9;
    double rackEnd = rackStart + between(RACK_MIN_SECONDS, RACK_MAX_SECONDS);
    for (int d = 0; d < shape.domains(); d++) {
      for (int i = 0; i < largest.getInstancesPerDomain(); i++) {
        boolean isInRack = d == rackDomain && i / RACK_INSTANCES == rack;
        drawInstance(d, i, isInRack ? rackStart : Double.MAX_VALUE, rackEnd);
      }
    }
    outages.sort(
        Comparator.comparingLong(Outage::startNanos)
            .thenComparingInt(Outage::domain)
            .thenComparingInt(Outage::instance));
    return List.copyOf(outages);
  }

  private void drawInstance(int domain, int instance, double rackStart, double rackEnd) {
    double total = FAILURE_RATE + RESTART_RATE + pauseRate;
    double time = nextGap(total);
    boolean isRackDue = rackStart < endSeconds;
    while (time < endSeconds || isRackDue) {
      if (isRackDue && time + FAILURE_MAX_SECONDS > rackStart) {
        add(domain, instance, rackStart, rackEnd, true);
        isRackDue = false;
        time = rackEnd + nextGap(total);
        continue;
      }
      double kind = random.nextDouble() * total;
      if (kind < FAILURE_RATE) {
        double end = time + between(FAILURE_MIN_SECONDS, FAILURE_MAX_SECONDS);
        time = add(domain, instance, time, end, true);
      } else if (kind < FAILURE_RATE + RESTART_RATE) {
        double end = time + between(RESTART_MIN_SECONDS, RESTART_MAX_SECONDS);
        time = add(domain, instance, time, end, true);
      } else {
        time = drawPauses(domain, instance, time);
      }
      time += nextGap(total);
    }
  }

  private double drawPauses(int domain, int instance, double start) {
    double time = start;
    int count = random.nextDouble() < REPEAT_CHANCE ? 1 + random.nextInt(MAX_REPEATS) : 0;
    for (int i = 0; i <= count; i++) {
      double end = time + between(PAUSE_MIN_SECONDS, PAUSE_MAX_SECONDS);
      time = add(domain, instance, time, end, false) + REPEAT_GAP_SECONDS;
    }
    return time;
  }

  private double add(int domain, int instance, double start, double end, boolean isBlank) {
    if (start < endSeconds) {
      outages.add(new Outage(domain, instance, toNanos(start), toNanos(end), isBlank));
    }
    return end;
  }

  private double nextGap(double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }

  private double between(double min, double max) {
    return min + random.nextDouble() * (max - min);
  }

  private static long toNanos(double seconds) {
    return TimeUnit.MILLISECONDS.toNanos((long) (seconds * 1_000));
  }
}
