package io.fireflyshed.bench.repair;

import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Computes a lower bound on the cost of any plan that knows all outages beforehand.
 *
 * <p>The plans that it bounds (1) hold a constant number of spares in each fabric domain, chosen
 * with knowledge of the whole trace and fewer than a replica has instances, and (2) load weights
 * only into the place of a member that is out, came back blank, or was moved to repair another
 * replica. Rule 2 excludes plans that replace a member before its outage begins, which no plan
 * without foresight can imitate. Everything else is free to them: they release members at once and
 * waste no load.
 *
 * <p>It is a lower bound for these reasons. With fewer spares than a replica has instances, a
 * domain never has room for more than its wanted replicas, so the domains are bounded one by one
 * and added up; ignoring that they share the weight store only lowers the sum. Stranded
 * accelerators are the live ones, which the trace fixes, less those in whole replicas, so both
 * measures grow with downtime and it is enough to bound downtime from below:
 *
 * <ul>
 *   <li>Capacity: an instance is unusable while it is out and, if it comes back blank, for one load
 *       time more. Of n instances that come back at one time, the j-th is not loaded before j load
 *       times divided by the slots of the store. With u unusable of m instances at most floor((m -
 *       u) / k) replicas are whole.
 *   <li>Incidents: the first outage of an instance that is in a replica keeps that replica from
 *       being whole until its place is loaded again, for at least the load time or, if shorter, the
 *       pause. The members that are left can't serve in another replica without a load either. So
 *       at least one replica of the domain is down in the union of these spans. An instance that is
 *       a spare when its outage begins escapes; only first outages count, so these are among the
 *       spares held at the begin, and as many of the longest spans as there are spares are left
 *       out.
 * </ul>
 *
 * <p>At each instant the larger of both counts. The minimum over the numbers of spares is taken for
 * each domain by itself.
 */
public final class HindsightBound {

  private static final double NANOS_PER_SECOND = 1e9;

  private final ZoneShape shape;
  private final long loadNanos;
  private final long releaseNanos;
  private final int loadSlots;
  private final RepairWeights weights;

  /**
   * Creates a bound.
   *
   * @param shape the zone; its number of spares is ignored, not null
   * @param settings the times, the slots of the weight store and the weights, not null
   */
  public HindsightBound(ZoneShape shape, RepairSettings settings) {
    this.shape = shape;
    this.loadNanos = settings.loadTime().toNanos();
    this.releaseNanos = settings.releaseTime().toNanos();
    this.loadSlots = settings.loadSlots();
    this.weights = settings.weights();
  }

  /**
   * Gets measures whose weighted sum no plan goes below.
   *
   * @param outages the outages by their start, not null
   * @param endNanos the end of the trace, in nanoseconds since its begin
   * @return the measures, never null
   */
  public RepairMeasures getBound(List<Outage> outages, long endNanos) {
    Map<Integer, List<Outage>> byDomain =
        outages.stream().collect(Collectors.groupingBy(Outage::domain));
    RepairMeasures sum = RepairMeasures.ZERO;
    for (int d = 0; d < shape.domains(); d++) {
      List<Outage> own = byDomain.getOrDefault(d, List.of());
      List<RepairMeasures> choices = new ArrayList<>();
      for (int spares = 0; spares < shape.instancesPerReplica(); spares++) {
        choices.add(getDomainBound(own, shape.withSpares(spares), endNanos));
      }
      sum = sum.plus(Collections.min(choices, Comparator.comparing(m -> m.getCost(weights))));
    }
    return sum;
  }

  private RepairMeasures getDomainBound(List<Outage> outages, ZoneShape held, long endNanos) {
    List<Outage> own =
        outages.stream().filter(o -> o.instance() < held.getInstancesPerDomain()).toList();
    List<Edge> edges = new ArrayList<>();
    addUnusable(own, edges);
    long escaped = addIncidents(own, held.spares(), endNanos, edges);
    edges.sort(Comparator.comparingLong(Edge::nanos));
    double capacity = 0;
    double combined = 0;
    int unusable = 0;
    int incidents = 0;
    long last = 0;
    for (Edge edge : edges) {
      long now = Math.min(edge.nanos(), endNanos);
      int lacking = getLacking(held, unusable);
      capacity += (now - last) * (double) lacking;
      combined += (now - last) * (double) Math.max(lacking, Math.min(1, incidents));
      last = now;
      unusable += edge.unusable();
      incidents += edge.incidents();
    }
    double down = Math.max(capacity, combined - escaped) / NANOS_PER_SECOND;
    return new RepairMeasures(down, getStrandedSeconds(own, held, endNanos, down));
  }

  private void addUnusable(List<Outage> outages, List<Edge> edges) {
    Map<Long, Integer> returns = new HashMap<>();
    for (Outage outage : outages) {
      long end = outage.endNanos();
      if (outage.isBlank()) {
        int rank = returns.merge(end, 1, Integer::sum);
        end += Math.max(loadNanos, rank * loadNanos / loadSlots);
      }
      edges.add(new Edge(outage.startNanos(), 1, 0));
      edges.add(new Edge(end, -1, 0));
    }
  }

  /** Adds the spans of first outages and gets the sum of the longest, one for each spare. */
  private long addIncidents(List<Outage> outages, int spares, long endNanos, List<Edge> edges) {
    Set<Integer> seen = new HashSet<>();
    List<Long> spans = new ArrayList<>();
    for (Outage outage : outages) {
      if (seen.add(outage.instance())) {
        long length = outage.endNanos() - outage.startNanos();
        long replaced = releaseNanos + loadNanos;
        long span = Math.min(replaced, outage.isBlank() ? length + loadNanos : length);
        edges.add(new Edge(outage.startNanos(), 0, 1));
        edges.add(new Edge(outage.startNanos() + span, 0, -1));
        spans.add(Math.min(span, endNanos - outage.startNanos()));
      }
    }
    return spans.stream()
        .sorted(Comparator.reverseOrder())
        .limit(spares)
        .mapToLong(Long::longValue)
        .sum();
  }

  private int getLacking(ZoneShape held, int unusable) {
    int usable = Math.max(0, held.getInstancesPerDomain() - unusable);
    return Math.max(0, held.replicasPerDomain() - usable / held.instancesPerReplica());
  }

  private double getStrandedSeconds(
      List<Outage> outages, ZoneShape held, long endNanos, double downSeconds) {
    double total = endNanos / NANOS_PER_SECOND;
    double out =
        outages.stream().mapToLong(o -> Math.min(o.endNanos(), endNanos) - o.startNanos()).sum()
            / NANOS_PER_SECOND;
    double live = held.getInstancesPerDomain() * total - out;
    double serving = (held.replicasPerDomain() * total - downSeconds) * held.instancesPerReplica();
    return held.accelerators() * (live - serving);
  }

  private record Edge(long nanos, int unusable, int incidents) {}
}
