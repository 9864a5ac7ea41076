package io.fireflyshed.transport.registry;

import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.traffic.ConfigurationReading;
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
 * Keeps the newest accepted configuration and knows how old that knowledge is.
 *
 * <p>Versions only grow. The age counts from before the last answered reading was sent, since the
 * answer shows what was accepted until then. An answered wait that brought no change may have
 * missed one whose notice was dropped, so it moves the age but not the version from which the next
 * wait starts; all is read again before that version grows old. Its steps run on the control
 * thread; views are read by any thread.
 */
public final class ConfigurationWatcher {

  /** The longest wait for a change; the age of the knowledge grows meanwhile. */
  private static final Duration WAIT = Duration.ofMillis(1800);

  /** The pause after a reading that failed. */
  private static final Duration RETRY = Duration.ofMillis(150);

  /** All is read again after this time, which is well within the history that stores keep. */
  private static final Duration REFRESH = Duration.ofSeconds(8);

  private final TrafficConfigurationSource source;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final Consumer<TrafficConfiguration> onAccepted;
  private final EventLog log = new EventLog("configuration");
  private volatile Optional<TrafficConfiguration> current = Optional.empty();
  private volatile long soundNanos;
  private long sourceVersion;
  private long wholeNanos;
  private boolean isWhole = true;
  private boolean isLost;

  /**
   * Creates a watcher.
   *
   * @param source the source, not null
   * @param control the control thread, not null
   * @param clock the clock of this process, which counts suspensions, not null
   * @param onAccepted is told of each new version, on the control thread, not null
   */
  public ConfigurationWatcher(
      TrafficConfigurationSource source,
      ScheduledExecutorService control,
      MonotonicClock clock,
      Consumer<TrafficConfiguration> onAccepted) {
    this.source = source;
    this.control = control;
    this.clock = clock;
    this.onAccepted = onAccepted;
  }

  /** Starts to read. */
  public void start() {
    control.execute(this::read);
  }

  /**
   * Gets the newest configuration.
   *
   * @return the configuration, empty before the first reading
   */
  public Optional<TrafficConfiguration> get() {
    return current;
  }

  /**
   * Gets the age of the knowledge that the configuration is the newest.
   *
   * @return the age, never null
   */
  public Duration getAge() {
    return Duration.ofNanos(clock.nanoTime() - soundNanos);
  }

  private void read() {
    long sent = clock.nanoTime();
    boolean isRefresh = isWhole || sent - wholeNanos > REFRESH.toNanos();
    CompletableFuture<ConfigurationReading> reading =
        isRefresh ? source.read() : source.await(sourceVersion, WAIT);
    reading.whenCompleteAsync((r, e) -> onRead(r, e, sent, isRefresh), control);
  }

  private void onRead(
      ConfigurationReading reading, Throwable error, long sentNanos, boolean isRefresh) {
    if (error != null) {
      onFailure(error);
      return;
    }
    if (isLost) {
      log.info("source regained", "source_version", reading.sourceVersion());
    }
    isLost = false;
    isWhole = false;
    if (isRefresh || reading.configuration().isPresent()) {
      sourceVersion = Math.max(sourceVersion, reading.sourceVersion());
      wholeNanos = sentNanos;
    }
    reading.configuration().ifPresent(c -> accept(c, reading.sourceVersion()));
    soundNanos = sentNanos;
    control.execute(this::read);
  }

  private void accept(TrafficConfiguration configuration, long version) {
    if (current.filter(c -> c.version() >= configuration.version()).isPresent()) {
      return;
    }
    log.info(
        "accepted",
        "version",
        configuration.version(),
        "before",
        current.map(TrafficConfiguration::version).orElse(0L),
        "source_version",
        version);
    current = Optional.of(configuration);
    onAccepted.accept(configuration);
  }

  private void onFailure(Throwable error) {
    if (HistoryLostException.isIn(error)) {
      log.info("history lost, reading all", "source_version", sourceVersion);
      isWhole = true;
      control.execute(this::read);
      return;
    }
    if (!isLost) {
      log.warn("source lost", "source_version", sourceVersion, "error", error.getMessage());
    }
    isLost = true;
    control.schedule(this::read, RETRY.toMillis(), TimeUnit.MILLISECONDS);
  }
}
