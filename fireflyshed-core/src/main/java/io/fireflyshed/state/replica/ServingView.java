package io.fireflyshed.state.replica;

import io.fireflyshed.state.instance.InstanceRecord;
import java.util.List;
import java.util.Map;

/**
 * A snapshot of what may serve requests, which the control thread publishes to the threads that
 * handle traffic. Immutable.
 *
 * @param services the configured model services by name, copied, not null
 * @param open the replicas that may serve, by service, copied, not null
 * @param plainTargets the usable targets of each plain service, copied, not null
 */
public record ServingView(
    Map<ServiceName, ModelServiceSpec> services,
    Map<ServiceName, List<OpenReplica>> open,
    Map<ServiceName, List<InstanceRecord>> plainTargets) {

  /** Copies the maps. */
  public ServingView {
    services = Map.copyOf(services);
    open = Map.copyOf(open);
    plainTargets = Map.copyOf(plainTargets);
  }

  /**
   * Creates an empty view, for a process that has not yet received any state.
   *
   * @return the view, never null
   */
  public static ServingView ofNothing() {
    return new ServingView(Map.of(), Map.of(), Map.of());
  }

  /**
   * Returns the replicas of a service that may serve.
   *
   * @param service the service, not null
   * @return the replicas, empty if there are none, never null
   */
  public List<OpenReplica> getOpen(ServiceName service) {
    return open.getOrDefault(service, List.of());
  }
}
