package io.fireflyshed.faults;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;

/**
 * Runs one family of operations on the decision code under a plan of faults.
 *
 * @param name the name of the family
 * @param promise what must hold in every run
 * @param kinds the faults that the schedule can act out, in the order of the table
 * @param schedule runs a seed under a plan and gets what went wrong, empty if all is well
 */
record FaultTrial(
    String name,
    String promise,
    List<FaultKind> kinds,
    BiFunction<Long, FaultPlan, List<String>> schedule) {

  /** Gets what went wrong in a run; a failed check counts too. */
  List<String> run(long seed, FaultPlan plan) {
    try {
      return schedule.apply(seed, plan);
    } catch (AssertionError e) {
      return List.of(String.valueOf(e.getMessage()));
    }
  }

  /** Gets the faults that the schedule can't act out. */
  Set<FaultKind> getMissing() {
    Set<FaultKind> missing = new TreeSet<>(List.of(FaultKind.values()));
    kinds.forEach(missing::remove);
    return missing;
  }
}
