package io.fireflyshed.state.traffic;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link RouteTable} and {@link Route}. */
public class RouteTableTest {

  private static Route newRoute(String name, String host, String prefix) {
    return newRoute(name, host, prefix, List.of(new WeightedService(new ServiceName("s"), 1)));
  }

  private static Route newRoute(
      String name, String host, String prefix, List<WeightedService> services) {
    return new Route(
        name,
        host,
        prefix,
        RequestKind.STREAM,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        1,
        services,
        2,
        false,
        false);
  }

  @Test
  public void routeWithLongestPrefixOfTheHostIsFound() {
    RouteTable table =
        new RouteTable(
            List.of(
                newRoute("short", "a.example", "/x/"),
                newRoute("long", "a.example", "/x/y/"),
                newRoute("other", "b.example", "/x/y/z/")));
    assertEquals(table.find("a.example", "/x/y/z/1").map(Route::name), Optional.of("long"));
    assertEquals(table.find("A.example:80", "/x/1").map(Route::name), Optional.of("short"));
    assertEquals(table.find("a.example", "/x").map(Route::name), Optional.empty());
    assertEquals(table.find("c.example", "/x/").map(Route::name), Optional.empty());
  }

  @Test
  public void serviceIsSelectedByWeight() {
    Route route =
        newRoute(
            "split",
            "a",
            "/",
            List.of(
                new WeightedService(new ServiceName("most"), 90),
                new WeightedService(new ServiceName("none"), 0),
                new WeightedService(new ServiceName("few"), 10)));
    assertEquals(route.selectService(0.0).service().value(), "most");
    assertEquals(route.selectService(0.89).service().value(), "most");
    assertEquals(route.selectService(0.9).service().value(), "few");
    assertEquals(route.selectService(0.999).service().value(), "few");
  }

  @Test(expectedExceptions = IllegalArgumentException.class)
  public void prefixMustEndWithASlash() {
    newRoute("bad", "a", "/x");
  }

  @Test
  public void streamThatIsNotResumableIsNotRetryable() {
    assertEquals(newRoute("r", "a", "/").isRetryable(), false);
  }
}
