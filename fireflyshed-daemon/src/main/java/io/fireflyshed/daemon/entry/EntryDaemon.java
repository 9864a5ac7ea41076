package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.order.OrderSettings;
import io.fireflyshed.coordination.poison.PoisonList;
import io.fireflyshed.coordination.poison.PoisonSettings;
import io.fireflyshed.coordination.retry.RetryPolicy;
import io.fireflyshed.coordination.routing.AffinityRouter;
import io.fireflyshed.coordination.routing.RouterSettings;
import io.fireflyshed.coordination.routing.TargetPicker;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.control.ControlLoop;
import io.fireflyshed.transport.control.ControlParts;
import io.fireflyshed.transport.desk.HedgedLookup;
import io.fireflyshed.transport.desk.HttpPlainService;
import io.fireflyshed.transport.engine.HttpModelEngine;
import io.fireflyshed.transport.engine.LossReportingEngine;
import io.fireflyshed.transport.entry.AccountDirectory;
import io.fireflyshed.transport.entry.ClaimingOrderPlacer;
import io.fireflyshed.transport.entry.CompletionHandler;
import io.fireflyshed.transport.entry.CompletionRunner;
import io.fireflyshed.transport.entry.EntryServer;
import io.fireflyshed.transport.entry.FixedAccountDirectory;
import io.fireflyshed.transport.entry.OrderHandler;
import io.fireflyshed.transport.entry.PoisonGuard;
import io.fireflyshed.transport.entry.QueueingAdmission;
import io.fireflyshed.transport.entry.StreamSettings;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.load.LoadPoller;
import io.fireflyshed.transport.operator.OperatorActions;
import io.fireflyshed.transport.operator.OperatorServer;
import io.fireflyshed.transport.platform.HttpInstanceList;
import io.fireflyshed.transport.platform.HttpObjectStore;
import io.fireflyshed.transport.platform.HttpTableService;
import io.fireflyshed.transport.trace.RequestTracer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Schedulers;

/** Assembles the components of an entry process and controls their life cycle. */
public final class EntryDaemon implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(EntryDaemon.class);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration ORDER_DRAIN_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration DESK_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration HEDGE_DELAY = Duration.ofMillis(200);

  private final HttpCaller controlCaller = new HttpCaller("control");
  private final HttpCaller trafficCaller = new HttpCaller("traffic");
  private final OpenTelemetrySdk telemetry;
  private final ControlLoop control;
  private final ClaimingOrderPlacer orderPlacer;
  private final PeerModule peers;
  private final ConfigurationModule configuration;
  private final AffinityRouter router;
  private final LoadPoller loadPoller;
  private final QueueingAdmission admission;
  private final Optional<OperatorServer> operatorServer;
  private final EntryServer server;
  private volatile Optional<InetSocketAddress> operatorAddress = Optional.empty();
  private final List<ModelServiceSpec> fallbackServices;
  private final int loadPollsPerSecond;

  /**
   * Creates an entry process without starting it.
   *
   * @param settings the settings, not null
   */
  public EntryDaemon(EntryDaemonSettings settings) {
    this(settings, TelemetryFactory.newTelemetry(settings.otlpEndpoint()));
  }

  /** Creates an entry process that records its spans with the given telemetry. */
  EntryDaemon(EntryDaemonSettings settings, OpenTelemetrySdk telemetry) {
    this.telemetry = telemetry;
    MonotonicClock clock = MonotonicClock.system();
    fallbackServices = settings.control().services();
    TableService table = new HttpTableService(controlCaller, settings.platform(), PLATFORM_TIMEOUT);
    peers = new PeerModule(settings.control().zone(), settings.site(), table, clock);
    control =
        new ControlLoop(
            settings.control(),
            new ControlParts(
                new HttpModelEngine(controlCaller, CONTROL_TIMEOUT),
                new HttpInstanceList(controlCaller, settings.platform(), PLATFORM_TIMEOUT),
                table,
                peers.getBus(),
                settings.planner().newPlanner(),
                clock,
                RandomSource.XO_RO_SHI_RO_128_PP.create()));
    ConfigurationStore store =
        new ConfigurationStore(
            table, new HttpObjectStore(controlCaller, settings.platform(), PLATFORM_TIMEOUT));
    configuration =
        new ConfigurationModule(
            settings.site().site(),
            peers.getBus().getSelf(),
            store,
            peers.getConfigurationPeers(),
            clock);
    operatorServer = newOperatorServer(settings, store, clock);
    PlainService plainService = new HttpPlainService(trafficCaller, DESK_TIMEOUT);
    orderPlacer = newOrderPlacer(table, plainService, clock);
    TrafficSettings traffic = settings.traffic();
    router =
        new AffinityRouter(
            RouterSettings.of(settings.control().zone(), traffic.zoneCost()),
            clock,
            RandomSource.XO_SHI_RO_256_PP.create());
    loadPoller =
        new LoadPoller(control, new HttpModelEngine(controlCaller, CONTROL_TIMEOUT), router, clock);
    admission =
        new QueueingAdmission(
            traffic.limits(),
            () -> getCapacity(traffic.replicaConcurrency()),
            peers.getBus(),
            clock);
    loadPollsPerSecond = traffic.loadPollsPerSecond();
    server = newServer(settings, plainService, clock);
  }

  /**
   * Starts the process.
   *
   * @return the bound address on which callers are served, never null
   */
  public InetSocketAddress start() {
    peers.start(configuration.getAgent());
    configuration.start(control, fallbackServices);
    operatorAddress = operatorServer.map(OperatorServer::start);
    operatorAddress.ifPresent(a -> LOG.info("operator: listening on port {}", a.getPort()));
    control.start();
    loadPoller.start(loadPollsPerSecond, Schedulers.parallel());
    admission.start(Schedulers.parallel());
    return server.start();
  }

  /**
   * Returns the source of the view that the control thread published last.
   *
   * @return the source, never null
   */
  public Supplier<ServingView> getViews() {
    return control;
  }

  /** Returns the address of the operator API; fails if it is not served or not yet started. */
  InetSocketAddress getOperatorAddress() {
    return operatorAddress.orElseThrow();
  }

  /** Returns the module that connects this process to its peers. */
  PeerModule getPeers() {
    return peers;
  }

  /** Returns the module that follows the configuration. */
  ConfigurationModule getConfiguration() {
    return configuration;
  }

  /**
   * Shuts down gracefully: stops accepting requests, waits for requests in flight and for open
   * orders up to their timeouts, releases the lease of the coordinator and leaves the peers.
   *
   * @return a future of the number of requests that were still in flight at the end
   */
  public CompletableFuture<Integer> shutdown() {
    return server
        .shutdown()
        .thenCompose(
            inFlight -> orderPlacer.drain(ORDER_DRAIN_TIMEOUT).thenApply(openOrders -> inFlight))
        .thenCompose(inFlight -> control.releaseLease().thenApply(ignored -> inFlight))
        .whenComplete((inFlight, error) -> peers.leave());
  }

  @Override
  public void close() {
    admission.close();
    loadPoller.close();
    operatorServer.ifPresent(OperatorServer::close);
    peers.close();
    configuration.close();
    orderPlacer.close();
    control.close();
    controlCaller.close();
    trafficCaller.close();
    telemetry.close();
  }

  /** Returns this entry's even share of the concurrency of the open replicas. */
  private int getCapacity(int replicaConcurrency) {
    int open = control.get().open().values().stream().mapToInt(List::size).sum();
    return open * replicaConcurrency / (1 + peers.getBus().getLivePeers().size());
  }

  private Optional<OperatorServer> newOperatorServer(
      EntryDaemonSettings settings, ConfigurationStore store, MonotonicClock clock) {
    OperatorActions actions =
        new EntryOperatorActions(
            settings.site().site(), configuration.getAgent(), control, store, clock);
    return settings
        .site()
        .operatorListen()
        .map(a -> new OperatorServer(a, settings.site().operatorTokens(), actions));
  }

  private static ClaimingOrderPlacer newOrderPlacer(
      TableService table, PlainService plainService, MonotonicClock clock) {
    return new ClaimingOrderPlacer(
        OrderSettings.ofDefaults(), "e" + UUID.randomUUID(), table, plainService, clock);
  }

  private EntryServer newServer(
      EntryDaemonSettings settings, PlainService plainService, MonotonicClock clock) {
    ModelEngine engine =
        new LossReportingEngine(
            new HttpModelEngine(trafficCaller, CONTROL_TIMEOUT), control::reportFailure);
    RequestTracer tracer = new RequestTracer(telemetry);
    AccountDirectory accounts =
        configuration.newAccountDirectory(new FixedAccountDirectory(settings.accounts()));
    CompletionRunner runner =
        new CompletionRunner(
            control,
            router,
            engine,
            tracer,
            clock,
            StreamSettings.of(settings.traffic().limits().concurrencyTerms().hold()),
            RetryPolicy.ofDefaults(clock, RandomSource.XO_RO_SHI_RO_128_PP.create()),
            new PoisonGuard(new PoisonList(PoisonSettings.ofDefaults()), peers.getBus(), clock));
    CompletionHandler completions =
        new CompletionHandler(settings.entry(), accounts, control, admission, runner, tracer);
    TargetPicker picker = new TargetPicker(settings.control().zone());
    OrderHandler orders =
        new OrderHandler(
            settings.entry(),
            accounts,
            control,
            targets -> picker.sort(targets, clock.nanoTime()),
            new HedgedLookup(plainService, picker, clock, HEDGE_DELAY),
            configuration.newOrderPlacer(orderPlacer));
    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    control.getMeter().register(metrics, settings.control().zone().value());
    return new EntryServer(settings.entry(), control, completions, orders, metrics);
  }
}
