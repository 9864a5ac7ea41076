package io.fireflyshed.coordination.formation;

import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Computes how busy the replicas of each model are from the load that entries told. */
public final class UsageMeter {

  private UsageMeter() {}

  /**
   * Computes the usage of all models of a service.
   *
   * @param profile the models of the service and the slots of a replica, not null
   * @param heads the heads of its serving replicas in all availability zones, not null
   * @param load the load that all entries put on targets, not null
   * @return the requests that run or wait at the heads, divided by the slots of a replica, by
   *     model, never null
   */
  public static Map<String, Double> getBusyReplicas(
      EngineProfile profile, List<Target> heads, FleetLoad load) {
    Map<String, Double> busy = new HashMap<>();
    profile.models().forEach(model -> busy.put(model.name(), 0.0));
    for (Target head : heads) {
      FleetLoad.TargetRequests requests = load.loads().get(head.id());
      if (requests != null) {
        String model = head.membership().orElseThrow().getModel();
        double part = (double) requests.inFlight() / profile.slots();
        busy.computeIfPresent(model, (m, sum) -> sum + part);
      }
    }
    return busy;
  }
}
