package io.fireflyshed.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Runs each trial under every fault alone and every pair of faults. */
final class FaultMatrix {

  /** The seeds of each single fault. */
  static final int SINGLE_SEEDS = 150;

  /** The seeds of each pair of faults. */
  static final int PAIR_SEEDS = 40;

  private final List<String> violations = new ArrayList<>();
  private final Map<FaultTrial, Set<FaultPlan.Strike>> strikes = new HashMap<>();
  private final Map<FaultTrial, Integer> pairs = new HashMap<>();

  /** Runs all cells of a trial. */
  void run(FaultTrial trial) {
    Set<FaultPlan.Strike> seen = strikes.computeIfAbsent(trial, t -> new HashSet<>());
    int struckPairs = 0;
    List<FaultKind> kinds = trial.kinds();
    for (int i = 0; i < kinds.size(); i++) {
      FaultKind first = kinds.get(i);
      for (long seed = 1; seed <= SINGLE_SEEDS; seed++) {
        seen.addAll(runOnce(trial, seed, FaultPlan.of(first)));
      }
      for (FaultKind second : kinds.subList(i + 1, kinds.size())) {
        struckPairs += runPair(trial, first, second) ? 1 : 0;
      }
    }
    pairs.put(trial, struckPairs);
  }

  List<String> getViolations() {
    return violations;
  }

  /** Gets the cells in which a fault struck, in the form of Markdown. */
  String toMarkdown(FaultTrial trial) {
    StringBuilder text = new StringBuilder();
    text.append("## ").append(trial.name()).append("\n\n");
    text.append("Must hold: ").append(trial.promise()).append(".\n\n| step |");
    trial.kinds().forEach(k -> text.append(' ').append(k.getLabel()).append(" |"));
    text.append("\n| --- |").append(" --- |".repeat(trial.kinds().size())).append('\n');
    Set<FaultPlan.Strike> seen = strikes.get(trial);
    Set<String> steps = new TreeSet<>();
    seen.forEach(s -> steps.add(s.step()));
    for (String step : steps) {
      text.append("| ").append(step).append(" |");
      for (FaultKind kind : trial.kinds()) {
        boolean hasStruck = seen.contains(new FaultPlan.Strike(step, kind));
        text.append(hasStruck ? " held |" : " - |");
      }
      text.append('\n');
    }
    int count = trial.kinds().size();
    text.append("\nPairs of faults that struck in the same run: ").append(pairs.get(trial));
    text.append(" of ").append(count * (count - 1) / 2).append(", all held.\n");
    return text.toString();
  }

  private boolean runPair(FaultTrial trial, FaultKind first, FaultKind second) {
    boolean hasStruck = false;
    for (long seed = 1; seed <= PAIR_SEEDS; seed++) {
      Set<FaultPlan.Strike> struck = runOnce(trial, seed, FaultPlan.of(first, second));
      strikes.get(trial).addAll(struck);
      Set<FaultKind> kinds = new HashSet<>();
      struck.forEach(s -> kinds.add(s.kind()));
      hasStruck |= kinds.size() == 2;
    }
    return hasStruck;
  }

  private Set<FaultPlan.Strike> runOnce(FaultTrial trial, long seed, FaultPlan plan) {
    List<String> broken = trial.run(seed, plan);
    if (!broken.isEmpty()) {
      violations.add(trial.name() + " " + plan.getEnabled() + " seed " + seed + ": " + broken);
    }
    return plan.getStrikes();
  }
}
