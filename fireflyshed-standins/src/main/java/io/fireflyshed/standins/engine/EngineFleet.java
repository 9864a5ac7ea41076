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

/** Runs the engine stand-ins of one process, each on a port of its own. Thread safe. */
public final class EngineFleet implements AutoCloseable {

  private final Map<InstanceId, EngineStandIn> engines = new ConcurrentSkipListMap<>();
  private final List<EngineHttpServer> servers = new ArrayList<>();
  private final EngineSettings settings;
  private RequestTracer tracer = new RequestTracer(OpenTelemetry.noop());
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "engines"));

  /**
   * Creates a fleet without engines.
   *
   * @param settings the settings of all engines, not null
   */
  public EngineFleet(EngineSettings settings) {
    this.settings = settings;
    long stepNanos = settings.stepTime().toNanos();
    timer.scheduleAtFixedRate(this::stepAll, stepNanos, stepNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Starts the engine of an instance on a free port.
   *
   * @param instance the instance, not null
   * @param host the host name or address to listen on, not null
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
   * Sets the telemetry for the spans of engines that are started later. By default, no spans are
   * recorded.
   *
   * @param telemetry creates and exports the spans, not null
   */
  public synchronized void setTelemetry(OpenTelemetry telemetry) {
    tracer = new RequestTracer(telemetry);
  }

  /**
   * Gets the engine of an instance.
   *
   * @param instance the instance, not null
   * @return the engine, never null
   * @throws IllegalArgumentException if no engine was started for the instance
   */
  public EngineStandIn getEngine(InstanceId instance) {
    EngineStandIn engine = engines.get(instance);
    if (engine == null) {
      throw new IllegalArgumentException("no engine was started for instance " + instance);
    }
    return engine;
  }

  /**
   * Tests whether all members of the replica of an engine run the replica at its generation. An
   * engine without a replica has no members, so the result is true for it.
   */
  boolean isReplicaComplete(EngineStandIn head) {
    String replica = head.getReplica();
    long generation = head.getGeneration();
    return head.getMembers().stream()
        .map(engines::get)
        .allMatch(engine -> engine != null && engine.isRunning(replica, generation));
  }

  @Override
  public synchronized void close() {
    timer.shutdownNow();
    servers.forEach(EngineHttpServer::close);
  }

  private void stepAll() {
    engines.values().forEach(EngineStandIn::step);
  }
}
