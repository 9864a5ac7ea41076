package io.fireflyshed.standins.engine;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.transport.trace.RequestTracer;
import io.opentelemetry.api.OpenTelemetry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Holds the stand-in engines of one process, each with its own port. Thread safe. */
public final class EngineFleet implements AutoCloseable {

  private final Map<InstanceId, EngineStandIn> engines = new ConcurrentSkipListMap<>();
  private final List<EngineHttpServer> servers = new ArrayList<>();
  private final EngineSettings settings;
  private RequestTracer tracer = new RequestTracer(OpenTelemetry.noop());
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "engines"));

  /**
   * Creates a fleet without engines.
   *
   * @param settings the properties of all engines, not null
   */
  public EngineFleet(EngineSettings settings) {
    this.settings = settings;
    long stepNanos = settings.stepTime().toNanos();
    timer.scheduleAtFixedRate(this::step, stepNanos, stepNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Starts an engine.
   *
   * @param instance the instance that it acts for, not null
   * @param host the host to listen on, not null
   * @return the bound address, never null
   */
  public synchronized InetSocketAddress start(InstanceId instance, String host) {
    EngineStandIn engine = new EngineStandIn(instance, settings, this, timer);
    EngineHttpServer server = new EngineHttpServer(engine, this, tracer);
    InetSocketAddress address = server.start(new InetSocketAddress(host, 0));
    engines.put(instance, engine);
    servers.add(server);
    return address;
  }

  /**
   * Sets where the spans of engines that start from now on go.
   *
   * @param telemetry makes and exports spans, not null
   */
  public synchronized void setTelemetry(OpenTelemetry telemetry) {
    tracer = new RequestTracer(telemetry);
  }

  /**
   * Gets an engine.
   *
   * @param instance the instance, not null
   * @return the engine, never null
   * @throws IllegalArgumentException if the fleet has no such engine
   */
  public EngineStandIn getEngine(InstanceId instance) {
    EngineStandIn engine = engines.get(instance);
    if (engine == null) {
      throw new IllegalArgumentException("no engine for " + instance);
    }
    return engine;
  }

  /** Tests whether all members of the replica of an engine run it at the same generation. */
  boolean isWhole(EngineStandIn head) {
    String replica = head.getReplica();
    long generation = head.getGeneration();
    return head.getMembers().stream()
        .map(engines::get)
        .allMatch(e -> e != null && e.isRunning(replica, generation));
  }

  @Override
  public synchronized void close() {
    timer.shutdownNow();
    servers.forEach(EngineHttpServer::close);
  }

  private void step() {
    engines.values().forEach(EngineStandIn::step);
  }
}
