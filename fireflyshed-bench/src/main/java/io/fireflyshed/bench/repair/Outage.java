package io.fireflyshed.bench.repair;

/**
 * Describes a time during which one instance does not answer.
 *
 * @param domain the index of the fabric domain in its zone
 * @param instance the index of the instance in its domain
 * @param startNanos when it begins, since the begin of the trace
 * @param endNanos when it ends, after its start
 * @param isBlank whether the instance comes back without its weights
 */
public record Outage(int domain, int instance, long startNanos, long endNanos, boolean isBlank) {

  /** Checks the parts of the record. */
  public Outage {
    if (domain < 0 || instance < 0) {
      throw new IllegalArgumentException("indexes must not be negative");
    }
    if (startNanos < 0 || endNanos <= startNanos) {
      throw new IllegalArgumentException("endNanos must be after startNanos, which is 0 or more");
    }
  }
}
