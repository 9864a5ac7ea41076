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
 * Polls the registry and publishes the targets that may receive requests.
 *
 * <p>All steps run on the control thread. The published views are immutable and may be read on any
 * thread.
 */
public final class TargetFollower implements TargetView {

  /** The delay after a failed read. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  /** The time without a successful read that counts as an outage of the registry. */
  private static final Duration OUTAGE_LENGTH = Duration.ofMillis(1500);

  /** The time in which live targets reappear after an outage, with a margin for the read. */
  private static final Duration OUTAGE_GRACE = Duration.ofMillis(2300);

  /** Holds an immutable view of the targets. */
  private record View(
      Map<ServiceName, List<Target>> targets,
      Map<ServiceName, Map<String, List<Target>>> heads,
      List<Target> present,
      List<Target> serving) {}

  private final TargetRegistry registry;
  private final Duration readInterval;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final Consumer<Set<InstanceId>> listener;
  private final Runnable failureListener;
  private final TargetDirectory directory = new TargetDirectory(OUTAGE_LENGTH, OUTAGE_GRACE);
  private final EventLog log = new EventLog("targets");
  private volatile View view = new View(Map.of(), Map.of(), List.of(), List.of());
  private volatile boolean isRead;
  private boolean isRegistryLost;
  private boolean isFullReadNeeded = true;

  /**
   * Creates a follower.
   *
   * @param registry the registry, not null
   * @param readInterval the delay between two reads, not null
   * @param control the executor of the control thread, not null
   * @param clock the monotonic clock of this process, not null
   * @param listener is notified of changed targets on the control thread, not null
   * @param failureListener is notified of each failed read on the control thread, not null
   */
  public TargetFollower(
      TargetRegistry registry,
      Duration readInterval,
      ScheduledExecutorService control,
      MonotonicClock clock,
      Consumer<Set<InstanceId>> listener,
      Runnable failureListener) {
    this.registry = registry;
    this.readInterval = readInterval;
    this.control = control;
    this.clock = clock;
    this.listener = listener;
    this.failureListener = failureListener;
  }

  /** Starts to poll the registry. */
  public void start() {
    control.execute(this::read);
  }

  private void read() {
    (isFullReadNeeded ? registry.readAll() : registry.readChanges(directory.getVersion()))
        .whenCompleteAsync(this::onRead, control);
  }

  private void onRead(TargetChanges changes, Throwable error) {
    Duration delay = RETRY_DELAY;
    try {
      delay = error == null ? handleChanges(changes) : handleFailure(error);
    } catch (RuntimeException e) {
      log.error("changes of targets not applied, starting full read", e);
      isFullReadNeeded = true;
    } finally {
      scheduleRead(delay);
    }
  }

  /** Handles the result of a read and returns the delay until the next one. */
  private Duration handleChanges(TargetChanges changes) {
    if (isRegistryLost) {
      log.info("registry regained", "version", changes.version());
    }
    isRegistryLost = false;
    isFullReadNeeded = false;
    apply(changes);
    return readInterval;
  }

  /** Handles a failed read and returns the delay until the next one. */
  private Duration handleFailure(Throwable error) {
    if (HistoryLostException.isIn(error)) {
      log.info("change history unavailable, starting full read", "version", directory.getVersion());
      isFullReadNeeded = true;
      return Duration.ZERO;
    }
    if (!isRegistryLost) {
      log.warn("registry lost", "version", directory.getVersion(), "error", error.getMessage());
    }
    isRegistryLost = true;
    failureListener.run();
    publish(directory.expire(clock.nanoTime()));
    return RETRY_DELAY;
  }

  private void scheduleRead(Duration delay) {
    control.schedule(this::read, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void apply(TargetChanges changes) {
    Set<InstanceId> changed = directory.apply(changes, clock.nanoTime());
    boolean isFirst = !isRead;
    isRead = true;
    if (!changed.isEmpty() || isFirst) {
      publish(changed);
    }
  }

  private void publish(Set<InstanceId> changed) {
    if (changed.isEmpty()) {
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
    List<Target> present = directory.getTargets().stream().filter(t -> !t.isLeaving()).toList();
    view = new View(Map.copyOf(targets), Map.copyOf(heads), present, listServing(present));
    log.info(
        "targets changed",
        "version",
        directory.getVersion(),
        "changed",
        changed.size() > 8 ? changed.size() : changed,
        "heads",
        formatHeadCounts(heads));
    listener.accept(changed);
  }

  private static List<Target> listServing(List<Target> present) {
    Set<ServiceName> modelServices =
        present.stream()
            .filter(t -> t.membership().isPresent())
            .map(Target::service)
            .collect(Collectors.toSet());
    return present.stream()
        .filter(t -> t.isOpenHead() || !modelServices.contains(t.service()))
        .toList();
  }

  private static String formatHeadCounts(Map<ServiceName, Map<String, List<Target>>> heads) {
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
   * Lists the targets that take requests: those of plain services and the heads of replicas, except
   * leaving ones.
   *
   * @return the targets as they were published last, never null
   */
  public List<Target> getServing() {
    return view.serving();
  }

  /**
   * Lists the known targets of all services, whether or not they take requests, except leaving
   * ones.
   *
   * @return the targets as they were published last, never null
   */
  public List<Target> getPresent() {
    return view.present();
  }

  /**
   * Lists all known targets, including leaving ones. Must be called on the control thread.
   *
   * @return a copy of the list, never null
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
