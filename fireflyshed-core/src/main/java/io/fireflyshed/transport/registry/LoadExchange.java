package io.fireflyshed.transport.registry;

import io.fireflyshed.coordination.directory.ReaderSelector;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.LoadReport;
import io.fireflyshed.coordination.placement.RemoteLoads;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Tells the entries which load they put on targets and which targets are silent, so that each
 * places its requests by what all know.
 *
 * <p>The entries of an availability zone tell their loads to one of them, which joins them and asks
 * those of the other zones for their sums. An entry that gets no answer places its requests by what
 * the responses of targets say. All steps run on the control thread; {@link #answer} may be called
 * on any thread.
 */
public final class LoadExchange {

  /** The delay between two reports of an entry. */
  private static final Duration INTERVAL = Duration.ofMillis(200);

  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The age from which a report no longer counts; the entry may have ended. */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(1);

  /** Holds a load and when it was told. */
  private record Told(FleetLoad load, long nanos) {}

  private final PeerId self;
  private final AvailabilityZone zone;
  private final TargetPlacer placer;
  private final StallDetector stalls;
  private final Consumer<Set<InstanceId>> silenceListener;
  private final RemoteLoads remote;
  private final Supplier<List<EntryPeer>> entries;
  private final ReaderSelector selector;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final EventLog log = new EventLog("loads");
  private final Map<PeerId, Told> reports = new HashMap<>();
  private final Map<AvailabilityZone, Told> zoneLoads = new HashMap<>();
  private Optional<Told> latest = Optional.empty();

  /**
   * Creates an exchange.
   *
   * @param self this entry, not null
   * @param zone the availability zone of this entry, not null
   * @param placer knows this entry's load and is told that of all, not null
   * @param stalls knows the targets whose streams have no events, not null
   * @param silenceListener is notified of the targets that are silent towards all entries, on the
   *     control thread, not null
   * @param remote asks other entries, not null
   * @param entries lists the known entries of all availability zones, not null
   * @param selector selects the entries to ask, not null
   * @param control the executor of the control thread, not null
   * @param clock the monotonic clock of this process, which the placer uses, too, not null
   */
  public LoadExchange(
      PeerId self,
      AvailabilityZone zone,
      TargetPlacer placer,
      StallDetector stalls,
      Consumer<Set<InstanceId>> silenceListener,
      RemoteLoads remote,
      Supplier<List<EntryPeer>> entries,
      ReaderSelector selector,
      ScheduledExecutorService control,
      MonotonicClock clock) {
    this.self = Objects.requireNonNull(self, "self");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.placer = Objects.requireNonNull(placer, "placer");
    this.stalls = Objects.requireNonNull(stalls, "stalls");
    this.silenceListener = Objects.requireNonNull(silenceListener, "silenceListener");
    this.remote = Objects.requireNonNull(remote, "remote");
    this.entries = Objects.requireNonNull(entries, "entries");
    this.selector = Objects.requireNonNull(selector, "selector");
    this.control = Objects.requireNonNull(control, "control");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Starts to tell this entry's load. */
  public void start() {
    control.scheduleWithFixedDelay(
        this::tell, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void tell() {
    try {
      long now = clock.nanoTime();
      List<EntryPeer> known = entries.get();
      selector.retain(known);
      FleetLoad own =
          placer.takeOwnLoad(stalls.findSilentTargets(now), stalls.findResponsiveTargets(now), now);
      Optional<EntryPeer> joining = selector.select(known, now);
      if (joining.isPresent()) {
        tell(joining.get(), own, now);
      } else {
        join(known, own, now);
      }
    } catch (RuntimeException e) {
      // The next report must be made, or the others would never learn this entry's load again.
      log.error("load not told", e);
    }
  }

  private void tell(EntryPeer joining, FleetLoad own, long sentNanos) {
    remote
        .ask(joining, own, false, TIMEOUT)
        .whenCompleteAsync(
            (total, error) -> {
              if (error == null) {
                selector.onSuccess(joining.id());
                onTotal(total, own, sentNanos);
              } else {
                onFailure(joining, error);
              }
            },
            control);
  }

  /** Tells the placer the load of all, unless it lacks that of most entries. */
  private void onTotal(FleetLoad total, FleetLoad own, long nanos) {
    Set<InstanceId> silent = total.findSilentTargets();
    if (!silent.isEmpty()) {
      silent.forEach(target -> placer.onSilent(target, clock.nanoTime()));
      silenceListener.accept(silent);
    }
    if (total.entries() * 2 > entries.get().size() + 1) {
      latest = Optional.of(new Told(total, nanos));
      // Most of the loads were told some time before.
      placer.onFleetLoad(total, own, nanos - INTERVAL.toNanos() / 2);
    }
  }

  /**
   * Gets the load of most entries as it was told last. Must be called on the control thread.
   *
   * @return the load, empty if none is recent, never null
   */
  public Optional<FleetLoad> getLatest() {
    long now = clock.nanoTime();
    return latest.filter(told -> now - told.nanos() <= MAX_REPORT_AGE.toNanos()).map(Told::load);
  }

  private void onFailure(EntryPeer entry, Throwable error) {
    log.info("load not told", "entry", entry.id(), "error", error.getMessage());
    selector.onFailure(entry.id(), clock.nanoTime());
  }

  /** Joins the loads of this zone, and asks the other zones for theirs. */
  private void join(List<EntryPeer> known, FleetLoad own, long now) {
    reports.put(self, new Told(own, now));
    onTotal(sumAll(now), own, now);
    Set<AvailabilityZone> zones = new HashSet<>();
    known.forEach(e -> zones.add(e.zone()));
    zones.remove(zone);
    zones.forEach(z -> selector.selectOf(z, known, now).ifPresent(e -> askZone(z, e, now)));
  }

  private void askZone(AvailabilityZone other, EntryPeer entry, long sentNanos) {
    remote
        .ask(entry, FleetLoad.NONE, true, TIMEOUT)
        .whenCompleteAsync(
            (load, error) -> {
              if (error == null) {
                selector.onSuccess(entry.id());
                zoneLoads.put(other, new Told(load, sentNanos));
              } else {
                onFailure(entry, error);
              }
            },
            control);
  }

  private FleetLoad sumAll(long now) {
    return sum(reports, now).plus(sum(zoneLoads, now));
  }

  private static FleetLoad sum(Map<?, Told> loads, long now) {
    loads.values().removeIf(told -> now - told.nanos() > MAX_REPORT_AGE.toNanos());
    return loads.values().stream().map(Told::load).reduce(FleetLoad.NONE, FleetLoad::plus);
  }

  /**
   * Takes the load of another entry and returns the sum that it asked for.
   *
   * @param report the load, not null
   * @return a future of the sum
   */
  public CompletableFuture<FleetLoad> answer(LoadReport report) {
    return CompletableFuture.supplyAsync(() -> take(report), control);
  }

  private FleetLoad take(LoadReport report) {
    long now = clock.nanoTime();
    if (report.isZone()) {
      return sum(reports, now);
    }
    reports.put(report.sender(), new Told(report.load(), now));
    return sumAll(now);
  }
}
