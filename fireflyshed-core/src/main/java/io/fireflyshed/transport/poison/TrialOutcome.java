package io.fireflyshed.transport.poison;

/** The outcomes of trials of refused requests. */
public enum TrialOutcome {
  /** The request got the first part of its response, which ends the refusal. */
  SUCCEEDED,
  /** The target crashed. */
  CRASHED,
  /** Neither was seen in time, such as when the target rejected the request. */
  UNKNOWN
}
