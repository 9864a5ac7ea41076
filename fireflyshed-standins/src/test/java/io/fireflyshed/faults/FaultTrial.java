package io.fireflyshed.faults;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;

/**
 * Describes a trial of the fault matrix, which runs the decision code of one family of operations
 * under injected faults.
 *
 * @param name the name of the family of operations, not null
 * @param guarantees the guarantees that every run is checked for, not null
 * @param kinds the faults that the schedule can inject, in the order of the columns, not null
 * @param schedule runs the operations with a seed and a fault plan and returns the violations of
 *     the guarantees, empty if there are none, not null
 */
record FaultTrial(
    String name,
    String guarantees,
    List<FaultKind> kinds,
    BiFunction<Long, FaultPlan, List<String>> schedule) {

  /**
   * Runs the schedule once.
   *
   * @return the violations of the guarantees, among them the message of a failed assertion, never
   *     null
   */
  List<String> run(long seed, FaultPlan plan) {
    try {
      return schedule.apply(seed, plan);
    } catch (AssertionError e) {
      return List.of(String.valueOf(e.getMessage()));
    }
  }

  /** Gets the faults that the schedule cannot inject. */
  Set<FaultKind> getMissing() {
    Set<FaultKind> missing = new TreeSet<>(List.of(FaultKind.values()));
    kinds.forEach(missing::remove);
    return missing;
  }
}
