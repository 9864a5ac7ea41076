package io.fireflyshed.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Runs trials under every single fault and every pair of faults, and records at which steps the
 * faults were injected and which guarantees were violated.
 */
final class FaultMatrix {

  /** The number of seeds that are run with each single fault. */
  static final int SEEDS_PER_FAULT = 150;

  /** The number of seeds that are run with each pair of faults. */
  static final int SEEDS_PER_PAIR = 40;

  private final List<String> violations = new ArrayList<>();
  private final Map<FaultTrial, Set<FaultPlan.Strike>> injectionsByTrial = new HashMap<>();
  private final Map<FaultTrial, Integer> injectedPairsByTrial = new HashMap<>();

  /** Runs a trial under all single faults and pairs of faults that its schedule can inject. */
  void run(FaultTrial trial) {
    Set<FaultPlan.Strike> injections =
        injectionsByTrial.computeIfAbsent(trial, key -> new HashSet<>());
    int injectedPairs = 0;
    List<FaultKind> kinds = trial.kinds();
    for (int i = 0; i < kinds.size(); i++) {
      FaultKind first = kinds.get(i);
      for (long seed = 1; seed <= SEEDS_PER_FAULT; seed++) {
        injections.addAll(runSeed(trial, seed, FaultPlan.of(first)));
      }
      for (FaultKind second : kinds.subList(i + 1, kinds.size())) {
        injectedPairs += runPair(trial, first, second) ? 1 : 0;
      }
    }
    injectedPairsByTrial.put(trial, injectedPairs);
  }

  List<String> getViolations() {
    return violations;
  }

  /** Formats the steps of a trial at which faults were injected as a Markdown table. */
  String toMarkdown(FaultTrial trial) {
    StringBuilder text = new StringBuilder();
    text.append("## ").append(trial.name()).append("\n\n");
    text.append("Must hold: ").append(trial.guarantees()).append(".\n\n| step |");
    trial.kinds().forEach(kind -> text.append(' ').append(kind.getLabel()).append(" |"));
    text.append("\n| --- |").append(" --- |".repeat(trial.kinds().size())).append('\n');
    Set<FaultPlan.Strike> injections = injectionsByTrial.get(trial);
    Set<String> steps = new TreeSet<>();
    injections.forEach(injection -> steps.add(injection.step()));
    for (String step : steps) {
      text.append("| ").append(step).append(" |");
      for (FaultKind kind : trial.kinds()) {
        boolean isInjected = injections.contains(new FaultPlan.Strike(step, kind));
        text.append(isInjected ? " held |" : " - |");
      }
      text.append('\n');
    }
    int count = trial.kinds().size();
    text.append("\nPairs of faults that struck in the same run: ")
        .append(injectedPairsByTrial.get(trial));
    text.append(" of ").append(count * (count - 1) / 2).append(", all held.\n");
    return text.toString();
  }

  /** Runs a pair of faults and returns whether both were injected in at least one of the runs. */
  private boolean runPair(FaultTrial trial, FaultKind first, FaultKind second) {
    boolean areBothInjected = false;
    for (long seed = 1; seed <= SEEDS_PER_PAIR; seed++) {
      Set<FaultPlan.Strike> runInjections = runSeed(trial, seed, FaultPlan.of(first, second));
      injectionsByTrial.get(trial).addAll(runInjections);
      Set<FaultKind> kinds = new HashSet<>();
      runInjections.forEach(injection -> kinds.add(injection.kind()));
      areBothInjected |= kinds.size() == 2;
    }
    return areBothInjected;
  }

  private Set<FaultPlan.Strike> runSeed(FaultTrial trial, long seed, FaultPlan plan) {
    List<String> found = trial.run(seed, plan);
    if (!found.isEmpty()) {
      violations.add(trial.name() + " " + plan.getEnabled() + " seed " + seed + ": " + found);
    }
    return plan.getStrikes();
  }
}
