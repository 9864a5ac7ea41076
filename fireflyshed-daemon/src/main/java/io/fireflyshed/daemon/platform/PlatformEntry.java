package io.fireflyshed.daemon.platform;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.directory.ReaderSelector;
import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.coordination.formation.FormationSettings;
import io.fireflyshed.coordination.lease.LeaseTiming;
import io.fireflyshed.coordination.lease.ZoneLease;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.ReachabilityMonitor;
import io.fireflyshed.coordination.placement.ReachabilitySettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.poison.CrashLedger;
import io.fireflyshed.coordination.poison.CrashSettings;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.coordination.warmup.ColdBounds;
import io.fireflyshed.coordination.warmup.ColdTargets;
import io.fireflyshed.platform.HttpEngineControl;
import io.fireflyshed.platform.HttpHealthCheck;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.platform.StoreClient;
import io.fireflyshed.platform.StoreConfigurationSource;
import io.fireflyshed.platform.StoreTargetRegistry;
import io.fireflyshed.platform.WireHeaders;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.clock.SuspendAwareClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.transport.control.LeaseStore;
import io.fireflyshed.transport.formation.FormationController;
import io.fireflyshed.transport.forward.EvacuationFilter;
import io.fireflyshed.transport.forward.Forwarder;
import io.fireflyshed.transport.forward.HealthCheckValidator;
import io.fireflyshed.transport.forward.ReachabilityWatch;
import io.fireflyshed.transport.forward.RelayOffer;
import io.fireflyshed.transport.forward.RequestGate;
import io.fireflyshed.transport.forward.RequestRelay;
import io.fireflyshed.transport.forward.TargetCaller;
import io.fireflyshed.transport.forward.TargetProbe;
import io.fireflyshed.transport.forward.TargetValidator;
import io.fireflyshed.transport.forward.TcpTargetProbe;
import io.fireflyshed.transport.forward.TrafficServer;
import io.fireflyshed.transport.forward.TrafficServerSettings;
import io.fireflyshed.transport.forward.WarmHealthCheck;
import io.fireflyshed.transport.http.ConnectionReuse;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.log.EventLog;
import io.fireflyshed.transport.log.LoggingScheduler;
import io.fireflyshed.transport.peer.EntryRelay;
import io.fireflyshed.transport.peer.EntryServices;
import io.fireflyshed.transport.peer.PeerSettings;
import io.fireflyshed.transport.poison.CrashReportExchange;
import io.fireflyshed.transport.poison.RemoteReportWriter;
import io.fireflyshed.transport.poison.ReportWriter;
import io.fireflyshed.transport.poison.TrialOutcome;
import io.fireflyshed.transport.registry.ColdTargetRegistry;
import io.fireflyshed.transport.registry.ConfigurationWatcher;
import io.fireflyshed.transport.registry.EntryRegistrar;
import io.fireflyshed.transport.registry.LoadExchange;
import io.fireflyshed.transport.registry.SharedTableFeed;
import io.fireflyshed.transport.registry.SharedTableService;
import io.fireflyshed.transport.registry.TargetFollower;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Assembles an entry process for the users' platform and controls the life cycle of its parts. */
public final class PlatformEntry implements AutoCloseable {

  /** The length of a coordinator's lease, for which repair stops if the coordinator crashes. */
  private static final Duration LEASE_LENGTH = Duration.ofMillis(2500);

  /** Short enough that two renewals can fail before the lease expires. */
  private static final Duration LEASE_RENEW_INTERVAL = Duration.ofMillis(800);

  private static final Duration LEASE_POLL_INTERVAL = Duration.ofMillis(1250);
  private static final double MAX_CLOCK_DRIFT = 0.02;

  /** The maximum time from the check of a request's key to its start at a target. */
  private static final Duration KEY_AGE_MARGIN = Duration.ofMillis(500);

  /** The load balancer removes a process after two readiness checks, one second apart. */
  private static final Duration DRAIN_DELAY = Duration.ofMillis(2600);

  /** The time left for the process to exit before it is killed. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(600);

  /** The retry delay of offers that can't be placed; as long as between two probes of targets. */
  private static final Duration RELAY_REFUSAL = Duration.ofMillis(500);

  /** Limits the reports of engines, which have a few hundred bytes. */
  private static final int MAX_REPORT_BYTES = 256 << 10;

  /** Limits the answers to health checks, which say nothing beyond their heads. */
  private static final int MAX_HEALTH_BYTES = 16 << 10;

  /** The longest wait for the entry that writes crash reports to take one. */
  private static final Duration CRASH_REPORT_TIMEOUT = Duration.ofMillis(500);

  /** The delay between two questions for changed targets, which wait for the next read anyway. */
  private static final Duration TARGETS_READ_DELAY = Duration.ofMillis(20);

  /** The used fraction of the allowed retries, since targets count them slightly later. */
  private static final double RETRY_MARGIN_FACTOR = 0.9;

  /** The longest wait of connections for the configuration; callers leave after about a second. */
  private static final Duration MAX_ACCEPT_DELAY = Duration.ofMillis(600);

  private final PlatformSettings settings;
  private final Duration maxAcceptDelay;

  /** The clock for requests. A step of the wall clock must not end requests in flight. */
  private final MonotonicClock trafficClock = MonotonicClock.system();

  /** The clock for leases and the age of data, which must include the time of a suspension. */
  private final MonotonicClock clock =
      new SuspendAwareClock(MonotonicClock.system(), System::currentTimeMillis);

  private final SharedClock sharedClock = new SharedClock(clock);

  private final ScheduledExecutorService control = new LoggingScheduler("control");
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ByteBudget budget;
  private final HttpCaller storeCaller;
  private final HttpCaller engineCaller;
  private final HttpCaller healthCaller;
  private final TargetProbe targetProbe = new TcpTargetProbe();
  private final TargetCaller targetCaller;
  private final TargetValidator validator;
  private final TargetPlacer placer;
  private final StallDetector stalls = new StallDetector(PlacementSettings.ofDefaults());
  private final SharedTableFeed tables;
  private final LoadExchange loads;
  private final TargetFollower targets;
  private final EvacuatedZones evacuated = new EvacuatedZones();
  private final ColdTargets cold;
  private final ConfigurationWatcher configuration;
  private final ConfiguredServices configured = new ConfiguredServices(this::findConfiguration);
  private final EntryRegistrar registrar;
  private final Optional<EntryRelay> relay;
  private final ReachabilityWatch reachability;
  private final CrashReportExchange crashReports;
  private final FormationController formation;
  private final Forwarder forwarder;
  private final TrafficServer server;

  /** Whether connections of callers are established; used on the control thread only. */
  private boolean isListening;

  /** Whether connections are accepted; used on the control thread only. */
  private boolean isAccepting;

  private final EventLog log = new EventLog("entry");

  /**
   * Creates an entry without starting it.
   *
   * @param settings the platform's settings, not null
   */
  public PlatformEntry(PlatformSettings settings) {
    this(settings, MAX_ACCEPT_DELAY);
  }

  /** Creates an entry whose connections wait for the configuration for a given time at most. */
  PlatformEntry(PlatformSettings settings, Duration maxAcceptDelay) {
    this.settings = settings;
    this.maxAcceptDelay = maxAcceptDelay;
    budget = MemoryBudgetFactory.newBudget(settings.memoryBytes(), trafficClock, metrics);
    storeCaller = new HttpCaller("platform", HttpCaller.MAX_BODY_BYTES, budget);
    ConnectionReuse reuse = new ConnectionReuse(trafficClock);
    metrics.gauge("fireflyshed.targets.without.reuse", reuse, ConnectionReuse::countSuspended);
    engineCaller = new HttpCaller("engines", MAX_REPORT_BYTES, budget, reuse);
    healthCaller = new HttpCaller("health", MAX_HEALTH_BYTES, budget, reuse);
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    WireHeaders codec = new WireHeaders();
    StoreClient store = new StoreClient(storeCaller, settings.store());
    targetCaller = new TargetCaller(codec, trafficClock, configured::getRanks, reuse);
    cold = newColdTargets();
    EntrySchedule schedule =
        new EntrySchedule(settings.zoneRank(), settings.zones(), sharedClock, cold);
    placer =
        new PlacerFactory(settings, metrics).newPlacer(random, schedule, this::findConfiguration);
    metrics.gauge("fireflyshed.evacuated.zones", evacuated, e -> e.get().size());
    tables = newTables(store);
    targets = newTargets();
    configuration =
        new ConfigurationWatcher(
            new StoreConfigurationSource(tables),
            control,
            clock,
            c -> acceptOnceRoutable(),
            evacuated);
    reachability = newReachability(random);
    validator = newValidator();
    formation = newFormation(store, random);
    RetryAllowance allowance = newRetryAllowance(settings);
    DoubleSupplier retryAllowance = () -> allowance.get(clock.nanoTime());
    metrics.gauge("fireflyshed.retry.allowance", retryAllowance, DoubleSupplier::getAsDouble);
    registrar = newRegistrar(store, allowance, schedule, random);
    relay = settings.peerListen().map(this::newRelay);
    loads = newLoads();
    crashReports = newCrashReports(store, random);
    forwarder =
        new Forwarder(
            new EvacuationFilter(targets, evacuated),
            placer,
            stalls,
            targetCaller,
            validator,
            newRetryBudgets(settings, retryAllowance),
            crashReports,
            trafficClock,
            formation::onStalled,
            metrics,
            reachability,
            relay.map(RequestRelay.class::cast).orElseGet(RequestRelay::none),
            budget,
            configured::getRanks);
    server = newServer(codec, random);
  }

  private ColdTargets newColdTargets() {
    return new ColdTargets(
        new ColdBounds(settings.coldOvershoot(), settings.coldSlack()),
        configured::getColdStart,
        evacuated,
        clock);
  }

  private TargetFollower newTargets() {
    return new TargetFollower(
        new ColdTargetRegistry(new StoreTargetRegistry(tables, metrics), cold, metrics),
        TARGETS_READ_DELAY,
        control,
        clock,
        this::onTargetsChanged,
        this::onRegistryFailed);
  }

  private TargetValidator newValidator() {
    return new HealthCheckValidator(
        new WarmHealthCheck(
            new HttpHealthCheck(healthCaller, configured::getHealthPath, cold::onReported), cold),
        targetProbe,
        placer,
        reachability,
        trafficClock,
        metrics);
  }

  private Optional<TrafficConfiguration> findConfiguration() {
    return configuration.get();
  }

  private TrafficServer newServer(WireHeaders codec, UniformRandomProvider random) {
    return new TrafficServer(
        newServerSettings(settings),
        codec,
        new RequestGate(
            configuration::get, configuration::getAge, settings.maxKeyAge().minus(KEY_AGE_MARGIN)),
        () -> configuration.get().map(TrafficConfiguration::limits),
        forwarder,
        random,
        trafficClock,
        this::isReady,
        budget,
        metrics);
  }

  /** Creates the feed of the tables that one entry of each availability zone reads for all. */
  private SharedTableFeed newTables(StoreClient store) {
    return new SharedTableFeed(
        store,
        this::askEntry,
        this::getAskableEntries,
        newSelector(),
        EntryTables.getSettings(),
        control,
        clock,
        metrics);
  }

  private ReaderSelector newSelector() {
    return new ReaderSelector(new PeerId(settings.node()), settings.zone(), settings.cores());
  }

  private List<EntryPeer> getAskableEntries() {
    return relay.isPresent() ? registrar.getPeers() : List.of();
  }

  private CompletableFuture<TableChanges> askEntry(
      EntryPeer entry, TableQuestion question, Duration timeout) {
    return relay.orElseThrow().ask(entry, question, timeout);
  }

  private ReportWriter newReportWriter() {
    return new RemoteReportWriter(
        (entry, report) -> relay.orElseThrow().write(entry, report, CRASH_REPORT_TIMEOUT),
        this::getAskableEntries,
        newSelector(),
        control,
        clock);
  }

  private LoadExchange newLoads() {
    PeerId self = new PeerId(settings.node());
    return new LoadExchange(
        self,
        settings.zone(),
        placer,
        stalls,
        heads -> formation.onSilent(heads, PlacementSettings.ofDefaults().silenceTimeout()),
        this::askEntry,
        this::getAskableEntries,
        newSelector(),
        control,
        trafficClock);
  }

  private CompletableFuture<FleetLoad> askEntry(
      EntryPeer entry, FleetLoad own, boolean isZone, Duration timeout) {
    return relay.orElseThrow().ask(entry, own, isZone, timeout);
  }

  private EntryRegistrar newRegistrar(
      StoreClient store,
      RetryAllowance allowance,
      EntrySchedule schedule,
      UniformRandomProvider random) {
    return new EntryRegistrar(
        new SharedTableService(store, tables),
        store,
        settings.zone(),
        settings.node(),
        settings.peerListen(),
        settings.cores(),
        allowance,
        schedule,
        control,
        clock,
        random);
  }

  private EntryRelay newRelay(InetSocketAddress address) {
    return new EntryRelay(
        new PeerSettings(
            new PeerId(settings.node()),
            settings.zone(),
            new InetSocketAddress(address.getHostString(), address.getPort())),
        registrar::getPeers,
        registrar::refreshPeers,
        new EntryServices(
            this::getRelayRefusal,
            request -> forwarder.forwardRelayed(request),
            question -> tables.answer(question),
            report -> loads.answer(report),
            report -> crashReports.accept(report)),
        budget,
        trafficClock,
        RandomSource.XO_RO_SHI_RO_128_PP.create(),
        metrics);
  }

  /** Returns the retry delay of an offer of another entry, or empty if it can be placed. */
  private Optional<Duration> getRelayRefusal(RelayOffer offer) {
    return forwarder.canPlace(offer.service(), offer.getPool(), offer.model().isPresent())
        ? Optional.empty()
        : Optional.of(RELAY_REFUSAL);
  }

  private ReachabilityWatch newReachability(UniformRandomProvider random) {
    return new ReachabilityWatch(
        new ReachabilityMonitor(ReachabilitySettings.ofDefaults(), trafficClock.nanoTime()),
        targets::getServing,
        targets::getPresent,
        placer,
        targetProbe,
        random,
        trafficClock,
        metrics);
  }

  private CrashReportExchange newCrashReports(StoreClient store, UniformRandomProvider random) {
    CrashLedger ledger = new CrashLedger(CrashSettings.ofDefaults());
    metrics.gauge("fireflyshed.refused.fingerprints", ledger, CrashLedger::countRefusals);
    CrashReportExchange exchange =
        new CrashReportExchange(
            store,
            tables,
            newReportWriter(),
            settings.node(),
            ledger,
            control,
            clock,
            sharedClock,
            random);
    for (TrialOutcome outcome : TrialOutcome.values()) {
      Tags tags = Tags.of("outcome", outcome.name().toLowerCase(Locale.ROOT));
      metrics
          .more()
          .counter("fireflyshed.refusal.trials", tags, exchange, e -> e.countTrials(outcome));
    }
    return exchange;
  }

  private FormationController newFormation(StoreClient store, UniformRandomProvider random) {
    LeaseTiming timing =
        new LeaseTiming(LEASE_LENGTH, LEASE_RENEW_INTERVAL, LEASE_POLL_INTERVAL, MAX_CLOCK_DRIFT);
    FormationController controller =
        new FormationController(
            settings.zone(),
            new ZoneLease(new PeerId(settings.node()), timing, random),
            new LeaseStore(store, tables, settings.zone()),
            new HttpEngineControl(engineCaller),
            targets::getAll,
            configuration::get,
            FormationSettings.of(settings.loadWindow(), settings.zones()),
            this::areLoadsUnlimited,
            reachability::isIsolated,
            evacuated,
            () -> settings.isUsageFollowed() ? loads.getLatest() : Optional.empty(),
            control,
            clock);
    metrics
        .more()
        .counter(
            "fireflyshed.lease.raised.epochs",
            Tags.empty(),
            controller,
            FormationController::countRaisedEpochs);
    return controller;
  }

  static RetryAllowance newRetryAllowance(PlatformSettings settings) {
    Duration window = settings.repeatWindow();
    Duration readInterval = EntryRegistrar.READ_INTERVAL;
    return new RetryAllowance(
        settings.repeatSlack() * RETRY_MARGIN_FACTOR,
        settings.zones(),
        window.compareTo(readInterval) > 0 ? window : readInterval,
        EntryRegistrar.MAX_COUNT_AGE);
  }

  static ServiceRetryBudgets newRetryBudgets(PlatformSettings settings, DoubleSupplier allowance) {
    return new ServiceRetryBudgets(
        settings.repeatRatio() * RETRY_MARGIN_FACTOR, settings.repeatWindow(), allowance);
  }

  private static TrafficServerSettings newServerSettings(PlatformSettings settings) {
    Duration drainTime = settings.grace().minus(EXIT_MARGIN);
    Duration drainDelay = drainTime.compareTo(DRAIN_DELAY) < 0 ? drainTime : DRAIN_DELAY;
    return new TrafficServerSettings(
        settings.listen(),
        settings.readinessListen(),
        PlatformSettings.READINESS_PATH,
        settings.metricsListen(),
        drainDelay,
        drainTime.minus(drainDelay));
  }

  /**
   * Starts the entry. Returns once connections of callers are established; they are accepted, and
   * the parts that are not needed for requests start, as soon as requests can be routed.
   */
  public void start() {
    log.info("started", "node", settings.node(), "zone", settings.zone());
    configuration.start();
    targets.start();
    server.start();
    forwarder.start();
    reachability.start();
    control.execute(this::onListening);
    control.schedule(this::accept, maxAcceptDelay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onListening() {
    isListening = true;
    acceptOnceRoutable();
  }

  /**
   * Starts to accept connections once requests can be routed. Before, the answers to the first
   * requests would delay the reads that all of them need.
   */
  private void acceptOnceRoutable() {
    if (isListening && configuration.get().isPresent() && targets.isRead()) {
      accept();
    }
  }

  private void accept() {
    if (isAccepting) {
      return;
    }
    isAccepting = true;
    server.startAccepting();
    formation.start();
    relay.ifPresent(this::startRelay);
    registrar.start();
    loads.start();
    crashReports.start();
  }

  /** Starts to listen for other entries. An entry that can't do so still serves its callers. */
  private void startRelay(EntryRelay startedRelay) {
    try {
      log.info("listening for entries", "address", startedRelay.start());
    } catch (Exception e) {
      // Netty throws the checked exception of a port in use without declaring it.
      log.error("cannot listen for entries at " + settings.peerListen().orElseThrow(), e);
    }
  }

  /** Tests whether loads of weights are unlimited, as before a deployment's first request. */
  boolean areLoadsUnlimited() {
    return settings.isFirstStart() && !server.hasRequests();
  }

  private boolean isReady() {
    return configuration.get().isPresent() && targets.isRead() && crashReports.isRead();
  }

  private void onRegistryFailed() {
    crashReports.onTableServiceFailed();
  }

  private void onTargetsChanged(Set<InstanceId> changed) {
    Set<InstanceId> listed = targets.getAll().stream().map(Target::id).collect(Collectors.toSet());
    placer.retain(listed);
    validator.onListed(listed);
    changed.forEach(placer::reset);
    acceptOnceRoutable();
  }

  /**
   * Releases the coordinator's lease and shuts down; blocks until no request is in flight or the
   * drain timeout has passed and all connections of callers are closed.
   *
   * @param signalNanos the time of the signal to stop as a value of {@link System#nanoTime}
   */
  public void stop(long signalNanos) {
    CompletableFuture<Integer> relayed = stopServingEntries(signalNanos);
    formation.release();
    int inFlight = server.shutdown(signalNanos).join();
    server.close();
    log.info("stopped", "in_flight", inFlight, "for_entries", relayed.join());
  }

  /** Refuses requests of other entries and waits for those that are being served. */
  private CompletableFuture<Integer> stopServingEntries(long signalNanos) {
    forwarder.beginStop();
    relay.ifPresent(EntryRelay::stopAccepting);
    Duration sinceSignal = Duration.ofNanos(trafficClock.nanoTime() - signalNanos);
    return relay
        .map(r -> r.awaitIdle(settings.grace().minus(EXIT_MARGIN).minus(sinceSignal)))
        .orElse(CompletableFuture.completedFuture(0));
  }

  /** Closes the entry without waiting for requests in flight. */
  @Override
  public void close() {
    control.shutdownNow();
    reachability.stop();
    forwarder.stop();
    server.close();
    relay.ifPresent(EntryRelay::close);
    targetCaller.close();
    storeCaller.close();
    engineCaller.close();
    healthCaller.close();
  }
}
