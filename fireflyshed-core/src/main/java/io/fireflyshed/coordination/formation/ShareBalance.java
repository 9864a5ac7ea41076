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

  @Override
  public double getCoverage(ModelProfile model, int replicas) {
    return replicas * model.size() / Math.max(model.share(), MIN_SHARE);
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
}
