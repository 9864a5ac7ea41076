package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.ClientAccount;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.RouteTable;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.state.traffic.WeightedService;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link RequestGate}. */
public class RequestGateTest {

  private Optional<TrafficConfiguration> configuration;
  private Duration age;
  private final RequestGate gate =
      new RequestGate(() -> configuration, () -> age, Duration.ofMillis(4500));

  /** Provides a configuration that is up to date. */
  @BeforeMethod
  public void setUp() {
    configuration = Optional.of(newConfiguration());
    age = Duration.ZERO;
  }

  private static TrafficConfiguration newConfiguration() {
    RouteTable routes = new RouteTable(List.of(newRoute("/a/", false), newRoute("/p/", true)));
    return new TrafficConfiguration(
        7,
        routes,
        Map.of(),
        Map.of("key", new ClientAccount("account", OptionalInt.of(1))),
        true,
        new ClientLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
  }

  private static Route newRoute(String prefix, boolean isPublic) {
    return new Route(
        prefix,
        "h",
        prefix,
        RequestKind.IDEMPOTENT,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        1,
        List.of(new WeightedService(new ServiceName("s"), 1)),
        1,
        isPublic,
        false);
  }

  private RequestGate.Decision authorize(String path, String key) {
    return gate.authorize(
        new TrafficRequest(
            "id",
            HttpMethod.GET,
            path,
            "h",
            new DefaultHttpHeaders(),
            Optional.ofNullable(key),
            Optional.empty(),
            Optional.empty(),
            OptionalLong.empty()));
  }

  private static int getStatus(RequestGate.Decision decision) {
    return ((RequestGate.Decision.Deny) decision).status();
  }

  @Test
  public void keyIdentifiesTheAccount() {
    RequestGate.Decision.Allow allowed = (RequestGate.Decision.Allow) authorize("/a/x", "key");
    assertEquals(allowed.account().map(ClientAccount::name), Optional.of("account"));
    assertEquals(allowed.version(), 7);
  }

  @Test
  public void unknownKeysAndRoutesAreDenied() {
    assertEquals(getStatus(authorize("/a/x", "other")), 401);
    assertEquals(getStatus(authorize("/a/x", null)), 401);
    assertEquals(getStatus(authorize("/b/x", "key")), 404);
  }

  @Test
  public void oldConfigurationVerifiesNoKeysButServesPublicRoutes() {
    age = Duration.ofMillis(4501);
    assertEquals(getStatus(authorize("/a/x", "key")), 503);
    assertEquals(
        getStatus(authorize("/a/x", "other")), 503, "an old configuration may lack a new key");
    assertTrue(authorize("/p/x", null) instanceof RequestGate.Decision.Allow);
    assertEquals(getStatus(authorize("/b/x", "key")), 404);
  }

  @Test
  public void requestsMayBeRetriedWhileNoConfigurationIsKnown() {
    configuration = Optional.empty();
    assertEquals(getStatus(authorize("/a/x", "key")), 503);
  }
}
