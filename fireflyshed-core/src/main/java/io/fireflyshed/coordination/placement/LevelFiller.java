package io.fireflyshed.coordination.placement;

import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses among targets whose load is known as it was a moment ago.
 *
 * <p>If every entry chose the least loaded target, all would choose the same one until they learn
 * of each other's choices. Instead the unseen requests of the others are assumed to have filled up
 * the least loaded targets to a common level, and a target is chosen with a probability in
 * proportion to what it lacks to that level. After Dahlin, "Interpreting Stale Load Information"
 * (2000).
 */
final class LevelFiller {

  /**
   * A target that may be chosen.
   *
   * @param target the target
   * @param cost the cost of the next request at the target
   * @param costOfRequest by how much each request raises the cost, positive
   */
  record Option<T>(T target, double cost, double costOfRequest) {}

  private LevelFiller() {}

  /**
   * Chooses a target.
   *
   * @param options the targets, not empty, not null
   * @param unseenStarts the expected number of requests that the costs don't contain yet
   * @param random chooses among the targets, not null
   * @return the target of one of the options
   */
  static <T> T choose(List<Option<T>> options, double unseenStarts, UniformRandomProvider random) {
    List<Option<T>> sorted =
        options.stream().sorted(Comparator.comparingDouble(Option<T>::cost)).toList();
    double level = getLevel(sorted, Math.max(1, unseenStarts));
    double sum = 0;
    for (Option<T> option : sorted) {
      sum += getLack(option, level);
    }
    double rest = random.nextDouble() * sum;
    for (Option<T> option : sorted) {
      rest -= getLack(option, level);
      if (rest < 0) {
        return option.target();
      }
    }
    return sorted.get(0).target();
  }

  private static double getLack(Option<?> option, double level) {
    return Math.max(0, level - option.cost()) / option.costOfRequest();
  }

  /** Returns the cost to which requests raise the targets with the lowest costs. */
  private static <T> double getLevel(List<Option<T>> sorted, double requests) {
    double weights = 0;
    double weightedCosts = 0;
    double level = Double.MAX_VALUE;
    for (Option<T> option : sorted) {
      if (option.cost() >= level) {
        break;
      }
      weights += 1 / option.costOfRequest();
      weightedCosts += option.cost() / option.costOfRequest();
      level = (requests + weightedCosts) / weights;
    }
    return level;
  }
}
