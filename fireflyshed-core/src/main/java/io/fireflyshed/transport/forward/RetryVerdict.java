package io.fireflyshed.transport.forward;

/** States whether a failed attempt is retried, and what allowed or prevented the retry. */
enum RetryVerdict {
  /** The attempt is retried and the retry budget was charged. */
  CHARGED(true),
  /** The attempt is retried without a charge, since it reached no target. */
  FREE(true),
  /** The attempt may have run and the request must not run twice. */
  NOT_REPEATABLE(false),
  /** The maximum number of attempts was made. */
  TOO_MANY_ATTEMPTS(false),
  /** The request crashed several targets and must not be sent to another one. */
  REFUSED(false),
  /** Another attempt of the request is open and goes on. */
  OTHER_ATTEMPT(false),
  /** No other target can take the request. */
  NO_TARGET(false),
  /** The retry budget is exhausted. */
  NO_BUDGET(false);

  private final boolean isRetried;

  RetryVerdict(boolean isRetried) {
    this.isRetried = isRetried;
  }

  boolean isRetried() {
    return isRetried;
  }
}
