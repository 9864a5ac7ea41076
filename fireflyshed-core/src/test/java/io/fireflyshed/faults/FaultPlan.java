package io.fireflyshed.faults;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;

/**
 * Selects the faults that a schedule may inject and records the steps at which they were injected.
 */
public final class FaultPlan {

  /** A fault that was injected and the step of the operation at which it was injected. */
  public record Strike(String step, FaultKind kind) {}

  private final Set<FaultKind> enabled;
  private final Set<Strike> strikes = new HashSet<>();

  private FaultPlan(Set<FaultKind> enabled) {
    this.enabled = enabled;
  }

  /** Creates a plan that enables all faults. */
  public static FaultPlan ofAll() {
    return new FaultPlan(EnumSet.allOf(FaultKind.class));
  }

  /** Creates a plan that enables only the given faults. */
  public static FaultPlan of(FaultKind first, FaultKind... others) {
    return new FaultPlan(EnumSet.of(first, others));
  }

  /**
   * Tests whether a fault that the schedule has drawn is to be injected at a step, and records it
   * if so.
   */
  public boolean strikes(String step, FaultKind kind, boolean isDrawn) {
    if (!isDrawn || !enabled.contains(kind)) {
      return false;
    }
    strikes.add(new Strike(step, kind));
    return true;
  }

  /** Tests whether a fault is enabled. */
  public boolean isEnabled(FaultKind kind) {
    return enabled.contains(kind);
  }

  /** Returns the enabled faults. */
  public Set<FaultKind> getEnabled() {
    return Set.copyOf(enabled);
  }

  /** Returns the injected faults and their steps. */
  public Set<Strike> getStrikes() {
    return strikes;
  }
}
