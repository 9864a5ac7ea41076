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

  private static final Comparator<Route> LONGEST_FIRST =
      Comparator.comparingInt((Route r) -> r.prefix().length()).reversed();

  private final Map<String, List<Route>> byHost = new HashMap<>();

  /**
   * Creates a table.
   *
   * @param routes the routes, not null
   */
  public RouteTable(List<Route> routes) {
    routes.forEach(r -> byHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
    byHost.values().forEach(list -> list.sort(LONGEST_FIRST));
  }

  /**
   * Finds a route.
   *
   * @param host the host that the caller named, with or without a port, not null
   * @param path the path without its query, not null
   * @return the route, or empty if none matches
   */
  public Optional<Route> find(String host, String path) {
    int colon = host.lastIndexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : byHost.getOrDefault(name, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
