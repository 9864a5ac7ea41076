package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.directory.TargetDirectory;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.target.TargetRegistry;
import io.fireflyshed.transport.forward.TargetView;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Reads the registry in turn and publishes the targets that may get requests.
 *
 * <p>Its steps run on the control thread; the views are immutable and read by any thread.
 */
public final class TargetFollower implements TargetView {

  /**
   * The pause between two readings. Targets write every second or so; a shorter pause shows changes
   * of replicas sooner and costs a call to the platform each.
   */
  private static final Duration INTERVAL = Duration.ofMillis(500);

  /** The pause after a reading that failed. */
  private static final Duration RETRY = Duration.ofMillis(200);

  /** Readings that are missing for this long count as an outage of the registry. */
  private static final Duration OUTAGE = Duration.ofMillis(1500);

  /** Living targets are back this long after an outage, with a margin for the reading. */
  private static final Duration GRACE = Duration.ofMillis(2300);

  /** One immutable view. */
  private record View(
      Map<ServiceName, List<Target>> targets, Map<ServiceName, Map<String, List<Target>>> heads) {}

  private final TargetRegistry registry;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final Consumer<Set<InstanceId>> onChanged;
  private final TargetDirectory directory = new TargetDirectory(OUTAGE, GRACE);
  private final EventLog log = new EventLog("targets");
  private volatile View view = new View(Map.of(), Map.of());
  private volatile boolean isRead;
  private boolean isLost;
  private boolean isWhole = true;

  /**
   * Creates a follower.
   *
   * @param registry the registry, not null
   * @param control the control thread, not null
   * @param clock the clock of this process, not null
   * @param onChanged is told of targets that changed, on the control thread, not null
   */
  public TargetFollower(
      TargetRegistry registry,
      ScheduledExecutorService control,
      MonotonicClock clock,
      Consumer<Set<InstanceId>> onChanged) {
    this.registry = registry;
    this.control = control;
    this.clock = clock;
    this.onChanged = onChanged;
  }

  /** Starts to read. */
  public void start() {
    control.execute(this::read);
  }

  private void read() {
    (isWhole ? registry.readAll() : registry.readChanges(directory.getVersion()))
        .whenCompleteAsync(this::onRead, control);
  }

  private void onRead(TargetChanges changes, Throwable error) {
    if (error == null) {
      if (isLost) {
        log.info("registry regained", "version", changes.version());
      }
      isLost = false;
      isWhole = false;
      apply(changes);
      schedule(INTERVAL);
      return;
    }
    if (HistoryLostException.isIn(error)) {
      log.info("history lost, reading all targets", "version", directory.getVersion());
      isWhole = true;
      schedule(Duration.ZERO);
      return;
    }
    if (!isLost) {
      log.warn("registry lost", "version", directory.getVersion(), "error", error.getMessage());
    }
    isLost = true;
    publish(directory.expire(clock.nanoTime()));
    schedule(RETRY);
  }

  private void schedule(Duration pause) {
    control.schedule(this::read, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void apply(TargetChanges changes) {
    Set<InstanceId> touched = directory.apply(changes, clock.nanoTime());
    boolean isFirst = !isRead;
    isRead = true;
    if (!touched.isEmpty() || isFirst) {
      publish(touched);
    }
  }

  private void publish(Set<InstanceId> touched) {
    if (touched.isEmpty()) {
      return;
    }
    Map<ServiceName, List<Target>> targets = new HashMap<>();
    Map<ServiceName, Map<String, List<Target>>> heads = new HashMap<>();
    for (Target target : directory.getTargets()) {
      if (!target.isLeaving()) {
        targets.computeIfAbsent(target.service(), s -> new ArrayList<>()).add(target);
      }
      if (target.isOpenHead() && !target.isLeaving()) {
        heads
            .computeIfAbsent(target.service(), s -> new HashMap<>())
            .computeIfAbsent(
                target.membership().orElseThrow().getModel(), model -> new ArrayList<>())
            .add(target);
      }
    }
    view = new View(Map.copyOf(targets), Map.copyOf(heads));
    log.info(
        "targets changed",
        "version",
        directory.getVersion(),
        "changed",
        touched.size() > 8 ? touched.size() : touched,
        "heads",
        describe(heads));
    onChanged.accept(touched);
  }

  private static String describe(Map<ServiceName, Map<String, List<Target>>> heads) {
    return heads.values().stream()
        .flatMap(m -> m.entrySet().stream())
        .map(e -> e.getKey() + "=" + e.getValue().size())
        .sorted()
        .collect(Collectors.joining(" "));
  }

  @Override
  public boolean isRead() {
    return isRead;
  }

  /**
   * Lists all known targets, the leaving ones included. Must be called on the control thread.
   *
   * @return the targets, never null
   */
  public List<Target> getAll() {
    return directory.getTargets();
  }

  @Override
  public List<Target> getTargets(ServiceName service) {
    return view.targets().getOrDefault(service, List.of());
  }

  @Override
  public List<Target> getHeads(ServiceName service, String model) {
    return view.heads().getOrDefault(service, Map.of()).getOrDefault(model, List.of());
  }
}
