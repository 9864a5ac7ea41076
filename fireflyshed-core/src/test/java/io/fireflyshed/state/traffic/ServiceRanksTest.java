package io.fireflyshed.state.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests {@link ServiceRanks}. */
public class ServiceRanksTest {

  private static final ServiceName SERVICE = new ServiceName("s");

  private static Route newRoute(int priority, boolean isPublic) {
    return new Route(
        "route-" + priority,
        "h",
        "/" + priority + "/",
        RequestKind.IDEMPOTENT,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        priority,
        List.of(new WeightedService(SERVICE, 1)),
        2,
        isPublic,
        false);
  }

  private static ClientAccount newAccount(OptionalInt priority) {
    return new ClientAccount("account", priority);
  }

  private static List<Integer> getPriorities(List<Integer> ranks) {
    ServiceRanks found =
        ServiceRanks.of(ranks.stream().map(r -> newRoute(r, true)).toList(), List.of(), true);
    return ranks.stream().map(r -> found.getPriority(SERVICE, new Rank(r)).orElseThrow()).toList();
  }

  @Test
  public void serviceWithOneRankIsNotRanked() {
    List<Route> routes = List.of(newRoute(3, false), newRoute(4, false));
    List<ClientAccount> accounts = List.of(newAccount(OptionalInt.of(1)));
    ServiceRanks ranks = ServiceRanks.of(routes, accounts, true);
    assertSame(ranks, ServiceRanks.NONE);
    assertEquals(ranks.getPriority(SERVICE, new Rank(1)), OptionalInt.empty());
    assertSame(ServiceRanks.of(routes.subList(0, 1), List.of(), false), ServiceRanks.NONE);
  }

  @Test
  public void ranksOfRoutesAndAccountsMakeServiceRanked() {
    List<Route> route = List.of(newRoute(3, false));
    ClientAccount urgent = newAccount(OptionalInt.of(1));
    ClientAccount other = newAccount(OptionalInt.empty());
    assertEquals(ServiceRanks.of(route, List.of(urgent, other), true).isRanked(SERVICE), true);
    assertEquals(ServiceRanks.of(route, List.of(urgent, other), false).isRanked(SERVICE), false);
    List<Route> twoRoutes = List.of(newRoute(3, true), newRoute(4, true));
    assertEquals(ServiceRanks.of(twoRoutes, List.of(), true).isRanked(SERVICE), true);
  }

  @Test
  public void prioritiesKeepTheOrderOfTheRanks() {
    assertEquals(getPriorities(List.of(0, 2, 9)), List.of(0, 2, 9));
    assertEquals(getPriorities(List.of(5, 20, 300)), List.of(0, 1, 2));
    List<Integer> many = getPriorities(IntStream.range(0, 25).boxed().toList());
    assertEquals(many, many.stream().sorted().toList());
    assertEquals(many.get(0), 0);
    assertEquals(many.get(24), 9);
  }

  @Test
  public void rankOfAnotherVersionHasItsPlaceInTheOrder() {
    ServiceRanks small =
        ServiceRanks.of(List.of(newRoute(0, true), newRoute(2, true)), List.of(), true);
    assertEquals(small.getPriority(SERVICE, new Rank(40)), OptionalInt.of(9));
    ServiceRanks great =
        ServiceRanks.of(List.of(newRoute(0, true), newRoute(20, true)), List.of(), true);
    assertEquals(great.getPriority(SERVICE, new Rank(10)), OptionalInt.of(1));
  }
}
