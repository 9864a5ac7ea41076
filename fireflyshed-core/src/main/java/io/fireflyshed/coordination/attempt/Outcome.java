package io.fireflyshed.coordination.attempt;

/** Whether a target ran the request of an attempt that gave no complete answer, as far as known. */
public enum Outcome {
  /** The target did not run the request. */
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
   * Returns the text for this outcome in headers and problem responses.
   *
   * @return the label, never null
   */
  public String getLabel() {
    return label;
  }

  /**
   * Combines the outcomes of two attempts of one request.
   *
   * @param other the outcome of the other attempt, not null
   * @return {@link #RAN} if one attempt ran, else {@link #UNKNOWN} if one may have run, else {@link
   *     #NOT_RUN}, never null
   */
  public Outcome join(Outcome other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
  }

  /**
   * Returns the outcome with a label.
   *
   * @param label the label, may be null
   * @return the outcome, or {@link #UNKNOWN} if the label is null or unknown, never null
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
