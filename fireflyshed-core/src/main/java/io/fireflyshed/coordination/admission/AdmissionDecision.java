package io.fireflyshed.coordination.admission;

import io.fireflyshed.state.traffic.Rank;
import java.time.Duration;

/** The decision on a request of a pool whose requests differ in their ranks. */
public sealed interface AdmissionDecision {

  /**
   * Admits the request.
   *
   * @param rank the rank with which it is sent to targets, not null
   */
  record Admit(Rank rank) implements AdmissionDecision {}

  /**
   * Refuses the request, which has not run.
   *
   * @param threshold the used part of the room in requests from which the rank is refused
   * @param retryAfter the time after which room for the rank is expected, not null
   */
  record Refuse(double threshold, Duration retryAfter) implements AdmissionDecision {}
}
