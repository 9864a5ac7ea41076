package io.fireflyshed.coordination.attempt;

/** Tells what is known of an attempt that gave no complete answer. */
public enum Outcome {
  /** The target certainly did not run the request. */
  NOT_RUN("not-run"),
  /** The target ran the request. */
  RAN("ran"),
  /** The target may have run the request. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /**
   * Gets the text that callers and targets exchange.
   *
   * @return the label, never null
   */
  public String getLabel() {
    return label;
  }

  /**
   * Joins what is known of two attempts of one request.
   *
   * @param other the outcome of the other attempt, not null
   * @return {@link #NOT_RUN} only if neither attempt ran, {@link #RAN} if one certainly ran, never
   *     null
   */
  public Outcome join(Outcome other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
  }

  /**
   * Gets the outcome of a label.
   *
   * @param label the label, may be null
   * @return the outcome, {@link #UNKNOWN} if the label is null or not known
   */
  public static Outcome ofLabel(String label) {
    for (Outcome outcome : values()) {
      if (outcome.label.equals(label)) {
        return outcome;
      }
    }
    return UNKNOWN;
  }
}
