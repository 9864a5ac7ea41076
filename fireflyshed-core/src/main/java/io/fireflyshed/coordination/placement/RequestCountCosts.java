package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.Set;

/** Rates targets by the number of their requests for each slot. Learns nothing. Immutable. */
final class RequestCountCosts implements TargetCosts {

  /** Load that is added if all attempts at a target fail, as a multiple of its slots. */
  private static final double FAILURE_PENALTY = 2;

  private static final Duration MAX_FLEET_LOAD_AGE = Duration.ofSeconds(1);

  private final double otherZonePenalty;

  /**
   * Creates the costs.
   *
   * @param otherZonePenalty the load that is added for a target in another zone, as a fraction of
   *     its slots
   */
  RequestCountCosts(double otherZonePenalty) {
    this.otherZonePenalty = otherZonePenalty;
  }

  @Override
  public Duration getMaxFleetLoadAge() {
    return MAX_FLEET_LOAD_AGE;
  }

  @Override
  public double countUnseenStarts(
      RequestDescriptor request, double startsPerSecond, long ageNanos) {
    return startsPerSecond * ageNanos / 1e9;
  }

  @Override
  public Rater newRater(RequestDescriptor request, long nowNanos) {
    return this::rate;
  }

  private TargetRating rate(Target target, TargetState state) {
    double costOfRequest = state.slowness() / state.slots();
    double zonePenalty = state.isOtherZone() ? otherZonePenalty : 0;
    double failurePenalty = FAILURE_PENALTY * state.failureRate();
    double cost = (state.requests() + 1.0) * costOfRequest + zonePenalty + failurePenalty;
    return new TargetRating(cost, costOfRequest, false);
  }

  @Override
  public RequestRun newRun(RequestDescriptor request, InstanceId target, long eventsBefore) {
    return RequestRun.NONE;
  }

  @Override
  public double getExpectedWorkMillis(RequestDescriptor request) {
    return 0;
  }

  @Override
  public OptionalDouble getOwnWorkMillis(InstanceId target) {
    return OptionalDouble.empty();
  }

  @Override
  public OptionalDouble getExpectedMillis(InstanceId target) {
    return OptionalDouble.empty();
  }

  @Override
  public void retain(Set<InstanceId> listed) {}

  @Override
  public void reset(InstanceId target) {}
}
