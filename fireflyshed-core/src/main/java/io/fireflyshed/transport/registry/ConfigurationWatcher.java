package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.traffic.ConfigurationReadResult;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.state.traffic.TrafficConfigurationSource;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps the latest accepted traffic configuration and the time since it was last confirmed to be
 * the latest. Tells the evacuated zones, which the same source states, with the same currency.
 *
 * <p>Versions never decrease. The age is measured from before the last successful read was sent,
 * since the response reflects what was accepted until then. A wait that ended without a change may
 * have missed one whose notification was dropped. It therefore resets the age but doesn't advance
 * the version from which the next wait starts, and a full read follows before that version becomes
 * too old for the source. All steps run on the control thread; the getters may be called on any
 * thread.
 */
public final class ConfigurationWatcher {

  /** The longest wait for a change, during which the age of the configuration grows. */
  private static final Duration MAX_WAIT = Duration.ofMillis(1800);

  /** The delay after a failed read. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** The age of the source version that requires a full read; stores keep changes much longer. */
  private static final Duration MAX_VERSION_AGE = Duration.ofSeconds(8);

  private final TrafficConfigurationSource source;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final Consumer<TrafficConfiguration> listener;
  private final EvacuatedZones evacuated;
  private final EventLog log = new EventLog("configuration");
  private volatile Optional<TrafficConfiguration> current = Optional.empty();
  private volatile long confirmedNanos;
  private long sourceVersion;
  private long versionReadNanos;
  private boolean isFullReadNeeded = true;
  private boolean isSourceLost;

  /**
   * Creates a watcher.
   *
   * @param source the source, not null
   * @param control the executor of the control thread, not null
   * @param clock the monotonic clock of this process, which includes suspensions, not null
   * @param listener is notified of each new configuration on the control thread, not null
   * @param evacuated is told of the evacuated zones on the control thread, not null
   */
  public ConfigurationWatcher(
      TrafficConfigurationSource source,
      ScheduledExecutorService control,
      MonotonicClock clock,
      Consumer<TrafficConfiguration> listener,
      EvacuatedZones evacuated) {
    this.source = source;
    this.control = control;
    this.clock = clock;
    this.listener = listener;
    this.evacuated = evacuated;
  }

  /** Starts to read and watch the configuration. */
  public void start() {
    control.execute(this::read);
  }

  /**
   * Gets the latest known configuration.
   *
   * @return the configuration, empty before the first read, never null
   */
  public Optional<TrafficConfiguration> get() {
    return current;
  }

  /**
   * Gets the time since the current configuration was last confirmed to be the latest.
   *
   * @return the age, never null
   */
  public Duration getAge() {
    return Duration.ofNanos(clock.nanoTime() - confirmedNanos);
  }

  private void read() {
    long sentNanos = clock.nanoTime();
    boolean isFullRead =
        isFullReadNeeded || sentNanos - versionReadNanos > MAX_VERSION_AGE.toNanos();
    CompletableFuture<ConfigurationReadResult> pending =
        isFullRead ? source.read() : source.awaitChange(sourceVersion, MAX_WAIT);
    pending.whenCompleteAsync((r, e) -> onRead(r, e, sentNanos, isFullRead), control);
  }

  private void onRead(
      ConfigurationReadResult result, Throwable error, long sentNanos, boolean isFullRead) {
    Duration delay = RETRY_DELAY;
    try {
      delay = error == null ? handleResult(result, sentNanos, isFullRead) : handleFailure(error);
    } catch (RuntimeException e) {
      log.error("configuration not applied, starting full read", e);
      isFullReadNeeded = true;
    } finally {
      control.schedule(this::read, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Handles the result of a read and returns the delay until the next one. */
  private Duration handleResult(
      ConfigurationReadResult result, long sentNanos, boolean isFullRead) {
    if (isSourceLost) {
      log.info("source regained", "source_version", result.sourceVersion());
    }
    isSourceLost = false;
    isFullReadNeeded = false;
    boolean isEvacuationChanged = evacuated.apply(result.evacuations(), clock.nanoTime());
    if (isEvacuationChanged) {
      log.info(
          "evacuated zones changed",
          "zones",
          evacuated.get(),
          "source_version",
          result.sourceVersion());
    }
    if (isFullRead || isEvacuationChanged || result.configuration().isPresent()) {
      sourceVersion = Math.max(sourceVersion, result.sourceVersion());
      versionReadNanos = sentNanos;
    }
    Optional<TrafficConfiguration> accepted = result.configuration().filter(this::isNewer);
    accepted.ifPresent(c -> accept(c, result.sourceVersion()));
    confirmedNanos = sentNanos;
    accepted.ifPresent(listener);
    return Duration.ZERO;
  }

  private boolean isNewer(TrafficConfiguration configuration) {
    return current.filter(c -> c.version() >= configuration.version()).isEmpty();
  }

  private void accept(TrafficConfiguration configuration, long readSourceVersion) {
    log.info(
        "accepted",
        "version",
        configuration.version(),
        "before",
        current.map(TrafficConfiguration::version).orElse(0L),
        "source_version",
        readSourceVersion);
    current = Optional.of(configuration);
  }

  /** Handles a failed read and returns the delay until the next one. */
  private Duration handleFailure(Throwable error) {
    if (HistoryLostException.isIn(error)) {
      log.info("change history unavailable, starting full read", "source_version", sourceVersion);
      isFullReadNeeded = true;
      return Duration.ZERO;
    }
    if (!isSourceLost) {
      log.warn("source lost", "source_version", sourceVersion, "error", error.getMessage());
    }
    isSourceLost = true;
    return RETRY_DELAY;
  }
}
