package io.fireflyshed.state.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by its host and the longest prefix of its path. Immutable. */
public final class RouteTable {

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route r) -> r.prefix().length()).reversed();

  private final Map<String, List<Route>> routesByHost = new HashMap<>();

  /**
   * Creates a table.
   *
   * @param routes the routes, not null
   */
  public RouteTable(List<Route> routes) {
    routes.forEach(r -> routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
    routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(LONGEST_PREFIX_FIRST));
  }

  /**
   * Gets all routes.
   *
   * @return the routes in no particular order, never null
   */
  public List<Route> getAll() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Finds the route with the longest matching prefix.
   *
   * @param host the value of the Host header, in any case, with or without a port, not null
   * @param path the path without the query, not null
   * @return the route, empty if none matches, never null
   */
  public Optional<Route> find(String host, String path) {
    int colon = host.lastIndexOf(':');
    String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routesByHost.getOrDefault(hostName, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
