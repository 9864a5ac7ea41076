package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.util.List;
import java.util.Objects;

/** Leaves out the targets of evacuated availability zones. Thread safe. */
public final class EvacuationFilter implements TargetView {

  private final TargetView targets;
  private final EvacuatedZones evacuated;

  /**
   * Creates a filter.
   *
   * @param targets lists the targets of all zones, not null
   * @param evacuated knows the evacuated zones, not null
   */
  public EvacuationFilter(TargetView targets, EvacuatedZones evacuated) {
    this.targets = Objects.requireNonNull(targets, "targets");
    this.evacuated = Objects.requireNonNull(evacuated, "evacuated");
  }

  @Override
  public boolean isRead() {
    return targets.isRead();
  }

  @Override
  public List<Target> getTargets(ServiceName service) {
    return filter(targets.getTargets(service));
  }

  @Override
  public List<Target> getHeads(ServiceName service, String model) {
    return filter(targets.getHeads(service, model));
  }

  private List<Target> filter(List<Target> all) {
    return evacuated.get().isEmpty()
        ? all
        : all.stream().filter(target -> !evacuated.contains(target.zone())).toList();
  }
}
