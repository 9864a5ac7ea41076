package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.traffic.ModelProfile;
import java.util.Map;

/** Compares models by the engines that serve them and their configured shares of the work. */
final class ShareBalance implements ModelBalance {

  /** Lower bound for a share, so that the coverage of an idle model stays finite. */
  private static final double MIN_SHARE = 0.01;

  /** A model gives up engines to the least covered one if its coverage is higher by this factor. */
  private static final double DONOR_RATIO = 1.8;

  /** The same factor if the domain has free engines that no model can use without further ones. */
  private static final double DONOR_RATIO_WITH_FREE = 1.2;

  private Map<String, Integer> replicasInOtherZones = Map.of();

  @Override
  public double getCoverage(ModelProfile model, int replicas) {
    double coverageOfReplica = model.size() / Math.max(model.share(), MIN_SHARE);
    int elsewhere = replicasInOtherZones.getOrDefault(model.name(), 0);
    double coverage = elsewhere * coverageOfReplica;
    // Added one by one, as a product may round differently and thus break ties the other way.
    for (int i = elsewhere; i < replicas; i++) {
      coverage += coverageOfReplica;
    }
    return coverage;
  }

  @Override
  public boolean isMoveWorthwhile(
      ModelProfile donor,
      ModelProfile receiver,
      Map<String, Integer> replicas,
      boolean hasFreeEngines) {
    double ratio = hasFreeEngines ? DONOR_RATIO_WITH_FREE : DONOR_RATIO;
    return getCoverage(donor, replicas.get(donor.name()))
        > ratio * getCoverage(receiver, replicas.get(receiver.name()));
  }

  @Override
  public boolean isWaitWorthwhile(
      ModelProfile model, ModelProfile other, Map<String, Integer> replicas) {
    double ratio =
        getCoverage(model, replicas.get(model.name()))
            / getCoverage(other, replicas.get(other.name()));
    return ratio > DONOR_RATIO_WITH_FREE;
  }

  /** Records the number of replicas in other zones, which the numbers of all zones contain. */
  void setReplicasInOtherZones(Map<String, Integer> replicas) {
    replicasInOtherZones = replicas;
  }
}
