package io.fireflyshed.coordination.cost;

import io.fireflyshed.state.instance.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Learns by how much each target is slower than the others of its pool. What isn't confirmed is
 * forgotten within some seconds, so that a target that was slow gets requests again. Not thread
 * safe.
 */
final class PaceLearner {

  /** The most pools, which come from the configuration. */
  private static final int MAX_POOLS = 256;

  private static final double TARGET_WEIGHT = 0.15;
  private static final double POOL_WEIGHT = 0.01;

  /** The number of samples from which a target's own pace counts as much as that of its kind. */
  private static final double PRIOR_SAMPLES = 3;

  /** The time in which what is known decays to 1/e without new samples. */
  private static final double DECAY_NANOS = 10e9;

  /** Targets that differ less than this aren't told apart. */
  private static final double TOLERANCE = 1.25;

  private static final double MAX_RATIO = 20;

  private static final class Pace {
    private final RunningMoments logs = new RunningMoments(TARGET_WEIGHT);
    private long sampleNanos;
  }

  private final Map<InstanceId, Pace> paces = new HashMap<>();
  private final BoundedMoments<String> pools = new BoundedMoments<>(MAX_POOLS, POOL_WEIGHT);

  /**
   * Records a duration.
   *
   * @param ratio the duration as a multiple of the expected one
   */
  void add(String pool, InstanceId target, double ratio, long nowNanos) {
    double log = Math.log(Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio)));
    Pace pace = paces.computeIfAbsent(target, t -> new Pace());
    pace.logs.add(log);
    pace.sampleNanos = nowNanos;
    pools.add(pool, log);
  }

  /** Returns the factor by which the expected times of a pool's targets are wrong. */
  double getPoolFactor(String pool) {
    RunningMoments kind = pools.get(pool);
    return kind == null
        ? 1
        : Math.exp(kind.getMean() * kind.getSamples() / (kind.getSamples() + PRIOR_SAMPLES));
  }

  /** Returns the factor by which a target is slower than its kind, 1 if about as fast. */
  double getSlowness(String pool, InstanceId target, long nowNanos) {
    Pace pace = paces.get(target);
    RunningMoments kind = pools.get(pool);
    if (pace == null || kind == null) {
      return 1;
    }
    int samples = pace.logs.getSamples();
    double trust = samples / (samples + PRIOR_SAMPLES);
    double decay = Math.exp(-Math.max(0, nowNanos - pace.sampleNanos) / DECAY_NANOS);
    double slowness = Math.exp((pace.logs.getMean() - kind.getMean()) * trust * decay);
    return slowness < TOLERANCE ? 1 : slowness;
  }

  void retain(Set<InstanceId> targets) {
    paces.keySet().retainAll(targets);
  }

  void reset(InstanceId target) {
    paces.remove(target);
  }
}
