package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Knows the services whose requests have different ranks, and only for these how urgent a request
 * is in comparison. Immutable.
 *
 * <p>The ranks of a service are those that its routes can have: the rank of each client account
 * that states one, and that of the route unless every request of it belongs to such an account.
 */
public final class ServiceRanks {

  /** The ranks of no service. */
  public static final ServiceRanks NONE = new ServiceRanks(Map.of());

  /** The number of priorities that targets tell apart, 0 for the most urgent requests. */
  public static final int PRIORITIES = 10;

  private final Map<ServiceName, NavigableSet<Rank>> ranksByService;

  private ServiceRanks(Map<ServiceName, NavigableSet<Rank>> ranksByService) {
    this.ranksByService = Map.copyOf(ranksByService);
  }

  /**
   * Collects the ranks of a configuration.
   *
   * @param routes the routes, not null
   * @param accounts the client accounts, not null
   * @param isKeyRequired whether requests of routes that are not public belong to an account
   * @return the services whose ranks differ, never null
   */
  public static ServiceRanks of(
      Collection<Route> routes, Collection<ClientAccount> accounts, boolean isKeyRequired) {
    Map<ServiceName, NavigableSet<Rank>> ranks = new HashMap<>();
    for (Route route : routes) {
      List<Rank> possible =
          route.isPublic() || !isKeyRequired
              ? List.of(Rank.of(route, Optional.empty()))
              : accounts.stream().map(a -> Rank.of(route, Optional.of(a))).toList();
      for (WeightedService service : route.services()) {
        ranks.computeIfAbsent(service.service(), s -> new TreeSet<>()).addAll(possible);
      }
    }
    ranks.values().removeIf(found -> found.size() < 2);
    return ranks.isEmpty() ? NONE : new ServiceRanks(ranks);
  }

  /**
   * Tests whether the requests of a service differ in their ranks.
   *
   * @param service the service, not null
   * @return false if all requests of the service are equally urgent
   */
  public boolean isRanked(ServiceName service) {
    return ranksByService.containsKey(service);
  }

  /**
   * Returns the priority that a target is told. Ranks below {@link #PRIORITIES} are their own
   * priority, which stays the same if other ranks are added. If a service has greater ranks, its
   * ranks are numbered in their order.
   *
   * @param service the service, not null
   * @param rank the rank of the request, which another version of the configuration may state, not
   *     null
   * @return the priority, from 0 to 9; empty if the ranks of the service don't differ, never null
   */
  public OptionalInt getPriority(ServiceName service, Rank rank) {
    NavigableSet<Rank> ranks = ranksByService.get(service);
    if (ranks == null) {
      return OptionalInt.empty();
    }
    if (ranks.last().value() < PRIORITIES) {
      return OptionalInt.of(Math.min(rank.value(), PRIORITIES - 1));
    }
    int moreUrgent = ranks.headSet(rank, false).size();
    int scaled = ranks.size() <= PRIORITIES ? moreUrgent : moreUrgent * PRIORITIES / ranks.size();
    return OptionalInt.of(Math.min(scaled, PRIORITIES - 1));
  }
}
