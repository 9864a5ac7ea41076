package io.fireflyshed.coordination.cost;

/**
 * Estimates what a request costs the target that runs it.
 *
 * @param prefillMillis the time to read the prompt
 * @param steps the number of decoding steps, 0 for a request that isn't a generation
 * @param stepMillis the time that each of them takes of a full target, or the whole time that the
 *     request takes of a full target if it has no steps
 * @param memoryTokens the tokens of context at its end
 * @param spread the standard deviation of the cost as a fraction of it
 * @param samples the number of requests that the estimate comes from
 */
record WorkEstimate(
    double prefillMillis,
    double steps,
    double stepMillis,
    double memoryTokens,
    double spread,
    int samples) {

  /** Returns the time for which the request keeps a full target busy. */
  double getWorkMillis() {
    return prefillMillis + getDecodeMillis();
  }

  double getDecodeMillis() {
    return Math.max(1, steps) * stepMillis;
  }
}
