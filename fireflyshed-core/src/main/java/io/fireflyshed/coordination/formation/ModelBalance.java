package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.traffic.ModelProfile;
import java.util.Map;

/** Compares how well models are covered by the replicas that serve their callers. */
interface ModelBalance {

  /**
   * Returns the coverage of a model.
   *
   * @param model the model, not null
   * @param replicas the number of its replicas in all availability zones
   * @return a number that is comparable among the models, 0 or less without a replica
   */
  double getCoverage(ModelProfile model, int replicas);

  /**
   * Tests whether replicas of one model may be closed to form one of another.
   *
   * @param donor the model that gives a replica, not null
   * @param receiver the least covered model, not null
   * @param replicas the numbers of replicas in all availability zones by model, not null
   * @param hasFreeEngines whether the domain has free engines that can't form a replica alone
   */
  boolean isMoveWorthwhile(
      ModelProfile donor,
      ModelProfile receiver,
      Map<String, Integer> replicas,
      boolean hasFreeEngines);

  /**
   * Tests whether free engines that could form a replica of one model should wait until they
   * suffice for one of another.
   *
   * @param model the model that they could serve, not null
   * @param other the least covered model, not null
   * @param replicas the numbers of replicas in all availability zones by model, not null
   */
  boolean isWaitWorthwhile(ModelProfile model, ModelProfile other, Map<String, Integer> replicas);
}
