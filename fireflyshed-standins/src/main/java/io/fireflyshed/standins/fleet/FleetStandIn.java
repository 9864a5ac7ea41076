package io.fireflyshed.standins.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a small deployment of the users' platform in one process: a metadata store, engines and the
 * targets of a plain service.
 */
public final class FleetStandIn implements AutoCloseable {

  /** The API key of the only client account. */
  public static final String KEY = "key-1";

  /** The host name that all routes match. */
  public static final String HOST = "fleet.example";

  /** The model that all engines serve. */
  public static final String MODEL = "model";

  private static final int INSTANCES_PER_REPLICA = 3;
  private static final Duration DEFAULT_ROUTE_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration DEFAULT_LATENCY_TARGET = Duration.ofMillis(200);

  private final StoreStandIn store = new StoreStandIn();
  private final List<TargetStandIn> engines = new ArrayList<>();
  private final List<TargetStandIn> desks = new ArrayList<>();
  private final TargetCapacity deskCapacity;
  private long configurationVersion;

  /**
   * Starts a deployment whose configuration accepts {@link #KEY}.
   *
   * @param engineCount the number of engines, 0 or more
   * @param deskCount the number of targets of the plain service, 0 or more
   */
  public FleetStandIn(int engineCount, int deskCount) {
    this(engineCount, deskCount, TargetCapacity.UNLIMITED);
  }

  /**
   * Starts a deployment whose configuration accepts {@link #KEY}.
   *
   * @param engineCount the number of engines, 0 or more
   * @param deskCount the number of targets of the plain service, 0 or more
   * @param deskCapacity how many requests each target of the plain service takes, not null
   */
  public FleetStandIn(int engineCount, int deskCount, TargetCapacity deskCapacity) {
    this.deskCapacity = deskCapacity;
    for (int i = 0; i < engineCount; i++) {
      addEngine();
    }
    for (int i = 0; i < deskCount; i++) {
      desks.add(new TargetStandIn(store, "desk-" + i, "desk", "a", false, deskCapacity));
    }
    accept(List.of(KEY));
  }

  /** Starts another engine, which belongs to no replica. */
  public void addEngine() {
    engines.add(new TargetStandIn(store, "engine-" + engines.size(), "models", "a", true));
  }

  /**
   * Publishes a new version of the configuration in the store.
   *
   * @param keys the API keys of the client account, not null
   */
  public void accept(List<String> keys) {
    accept(keys, DEFAULT_ROUTE_TIMEOUT);
  }

  /**
   * Publishes a new version of the configuration in the store.
   *
   * @param keys the API keys of the client account, not null
   * @param routeTimeout the longest time that a request may take on each route, not null
   */
  public void accept(List<String> keys, Duration routeTimeout) {
    accept(keys, routeTimeout, DEFAULT_LATENCY_TARGET);
  }

  /**
   * Publishes a new version of the configuration in the store.
   *
   * @param keys the API keys of the client account, not null
   * @param routeTimeout the longest time that a request may take on each route, not null
   * @param latencyTarget the latency target of each route, not null
   */
  public void accept(List<String> keys, Duration routeTimeout, Duration latencyTarget) {
    configurationVersion += 3;
    ObjectNode configuration = JsonUtils.getMapper().createObjectNode();
    configuration.put("version", configurationVersion);
    ArrayNode routes = configuration.putArray("routes");
    addRoute(routes, "/chat/", "streaming", "models", routeTimeout).put("resumable", true);
    addRoute(routes, "/notes/", "streaming", "models", routeTimeout);
    addRoute(routes, "/orders/", "non_idempotent", "desk", routeTimeout).put("max_attempts", 1);
    addRoute(routes, "/lookups/", "idempotent", "desk", routeTimeout);
    ArrayNode services = configuration.putArray("services");
    ObjectNode deskService = services.addObject().put("name", "desk");
    deskService.put("max_connections", 100);
    if (!deskCapacity.isUnlimited()) {
      deskService.put("health_path", TargetStandIn.HEALTH_PATH);
    }
    addEngineProfile(services.addObject().put("name", "models").put("max_connections", 400));
    configuration
        .putObject("limits")
        .put("max_header_bytes", 16384)
        .put("max_body_bytes", 1 << 20)
        .put("header_timeout_ms", 3000)
        .put("idle_timeout_ms", 15000);
    ObjectNode account = configuration.putArray("tenants").addObject().put("name", "account-1");
    ArrayNode apiKeys = account.putArray("api_keys");
    keys.forEach(apiKeys::add);
    routes.forEach(r -> ((ObjectNode) r).put("target_latency_ms", latencyTarget.toMillis()));
    store.put("op", "config", JsonUtils.toText(configuration));
  }

  private static ObjectNode addRoute(
      ArrayNode routes, String prefix, String kind, String service, Duration timeout) {
    return routes
        .addObject()
        .put("name", "r" + routes.size())
        .put("host", HOST)
        .put("prefix", prefix)
        .put("type", kind)
        .put("timeout_ms", timeout.toMillis())
        .put("priority", 1)
        .put("service", service)
        .put("max_attempts", 2)
        .put("public", false);
  }

  private static void addEngineProfile(ObjectNode service) {
    ObjectNode engine = service.putObject("engine");
    engine.put("slots", 18).put("step_ms", 6.0).put("per_seq_ms", 0.1).put("stride", 6);
    engine.put("read_per_s", 56000).put("chunk", 2048).put("report_lag_ms", 0);
    engine.put("loads_per_s", 100).put("loads_at_once", 8);
    ObjectNode model = engine.putArray("models").addObject();
    model.put("name", MODEL).put("size", INSTANCES_PER_REPLICA).put("share", 1.0).put("pace", 1.0);
    model.put("load_s", 0.1).put("warmup_s", 0.1);
  }

  /**
   * Gets the metadata store.
   *
   * @return the store, never null
   */
  public StoreStandIn getStore() {
    return store;
  }

  /**
   * Gets the engines.
   *
   * @return a copy of the list, never null
   */
  public List<TargetStandIn> getEngines() {
    return List.copyOf(engines);
  }

  /**
   * Gets the targets of the plain service.
   *
   * @return a copy of the list, never null
   */
  public List<TargetStandIn> getDesks() {
    return List.copyOf(desks);
  }

  @Override
  public void close() {
    engines.forEach(TargetStandIn::close);
    desks.forEach(TargetStandIn::close);
    store.close();
  }
}
