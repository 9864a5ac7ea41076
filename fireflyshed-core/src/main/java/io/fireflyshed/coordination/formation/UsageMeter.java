package io.fireflyshed.coordination.formation;

import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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
   *     model; without models that have no head, whose callers find no replica, never null
   */
  public static Map<String, Double> getBusyReplicas(
      EngineProfile profile, List<Target> heads, FleetLoad load) {
    Map<String, Double> busy = new HashMap<>();
    for (Target head : heads) {
      FleetLoad.TargetRequests requests = load.loads().get(head.id());
      double part = requests == null ? 0 : (double) requests.inFlight() / profile.slots();
      busy.merge(head.membership().orElseThrow().getModel(), part, Double::sum);
    }
    return busy;
  }

  /**
   * Counts the zones that give up replicas by usage before a zone, which are those with a lesser
   * name.
   *
   * @param heads the heads of the serving replicas in all availability zones, not null
   * @param zone the zone, not null
   * @return the number of these zones that have replicas, by model, never null
   */
  public static Map<String, Integer> countZonesBefore(List<Target> heads, AvailabilityZone zone) {
    Map<String, Set<AvailabilityZone>> zones = new HashMap<>();
    for (Target head : heads) {
      if (head.zone().compareTo(zone) < 0) {
        String model = head.membership().orElseThrow().getModel();
        zones.computeIfAbsent(model, m -> new HashSet<>()).add(head.zone());
      }
    }
    Map<String, Integer> counts = new HashMap<>();
    zones.forEach((model, found) -> counts.put(model, found.size()));
    return counts;
  }
}
