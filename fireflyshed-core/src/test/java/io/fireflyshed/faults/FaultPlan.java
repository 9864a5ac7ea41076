package io.fireflyshed.faults;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;

/** Tells a schedule which faults to act out and notes at which steps they struck. */
public final class FaultPlan {

  /** A step of an operation and a fault that struck there. */
  public record Strike(String step, FaultKind kind) {}

  private final Set<FaultKind> enabled;
  private final Set<Strike> strikes = new HashSet<>();

  private FaultPlan(Set<FaultKind> enabled) {
    this.enabled = enabled;
  }

  /** Creates a plan with all faults. */
  public static FaultPlan ofAll() {
    return new FaultPlan(EnumSet.allOf(FaultKind.class));
  }

  /** Creates a plan with some faults only. */
  public static FaultPlan of(FaultKind first, FaultKind... others) {
    return new FaultPlan(EnumSet.of(first, others));
  }

  /** Tests whether a fault that the schedule has drawn strikes at a step. */
  public boolean strikes(String step, FaultKind kind, boolean isDrawn) {
    if (!isDrawn || !enabled.contains(kind)) {
      return false;
    }
    strikes.add(new Strike(step, kind));
    return true;
  }

  /** Tests whether a fault is acted out at all. */
  public boolean isEnabled(FaultKind kind) {
    return enabled.contains(kind);
  }

  /** Gets the faults that are acted out. */
  public Set<FaultKind> getEnabled() {
    return Set.copyOf(enabled);
  }

  /** Gets where faults struck. */
  public Set<Strike> getStrikes() {
    return strikes;
  }
}
