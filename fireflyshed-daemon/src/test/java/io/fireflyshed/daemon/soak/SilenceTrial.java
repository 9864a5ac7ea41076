package io.fireflyshed.daemon.soak;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.daemon.soak.SilencePlan.Silence;
import io.fireflyshed.standins.fleet.FleetStandIn;
import io.fireflyshed.standins.fleet.TargetCapacity;
import io.fireflyshed.standins.fleet.TargetStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Runs entries and callers while the targets of a plain service fall silent. */
final class SilenceTrial implements AutoCloseable {

  /** The time in which a target was silent. */
  record SilentTime(String target, long fromNanos, long untilNanos) {}

  static final double RETRY_RATIO = 0.2;
  static final int RETRY_SLACK = 100;

  private static final Duration LATENCY_TARGET = Duration.ofMillis(142);
  private static final Duration CALLER_TIME = Duration.ofMillis(1008);
  private static final Duration WORK = Duration.ofMillis(20);
  private static final Duration MAX_IDLE = Duration.ofMillis(1500);

  /** Longer than a silence and the work that was left for after it. */
  private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

  private static final TargetCapacity CAPACITY = new TargetCapacity(6, 6);
  private static final int CALLERS = 120;
  private static final int MAX_ENTRY_DELAY_MILLIS = 1000;
  private static final int MIN_ENTRY_PAUSE_MILLIS = 300;
  private static final int MAX_ENTRY_PAUSE_MILLIS = 2800;
  private static final int KINDS = 10;
  private static final int ERRORS = 7;

  private final boolean isSuspendingEntries;
  private final UniformRandomProvider random;
  private final FleetStandIn fleet;
  private final EntryGroup entries;
  private final List<SilentTime> silentTimes = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  SilenceTrial(TrialSettings settings, Path directory) throws IOException {
    this.isSuspendingEntries = settings.isSuspendingEntries();
    random = RandomSource.SPLIT_MIX_64.create(settings.seed());
    fleet = new FleetStandIn(0, settings.targets(), CAPACITY);
    for (TargetStandIn target : fleet.getDesks()) {
      target.setErrorTrigger(
          request ->
              request.uri().startsWith("/lookups/")
                  && Math.floorMod((request.uri() + target.getId()).hashCode(), ERRORS) == 0);
    }
    accept(0);
    entries =
        new EntryGroup(
            settings, RETRY_RATIO, RETRY_SLACK, fleet.getStore().getAddress(), directory);
  }

  List<EntryLife> getLives() {
    return entries.getLives();
  }

  List<TargetStandIn> getTargets() {
    return fleet.getDesks();
  }

  List<CallerAttempt> getAttempts() {
    return entries.getAttempts();
  }

  List<SilentTime> getSilentTimes() {
    return silentTimes;
  }

  /** Runs callers while plans are carried out. */
  void run(SilencePlan.Pattern pattern, int rounds) throws Exception {
    entries.awaitServing(List.of(Kind.ORDER, Kind.LOOKUP));
    CallerHabits habits =
        new CallerHabits(List.of(Caller.Style.KEEP), MAX_IDLE, SilenceTrial::newRequest);
    entries.startCallers(habits, CALLERS);
    for (int round = 1; round <= rounds; round++) {
      SilencePlan plan = SilencePlan.draw(random, pattern, fleet.getDesks().size());
      Thread.sleep(plan.delayMillis());
      accept(round);
      plan.silences().forEach(this::schedule);
      if (isSuspendingEntries) {
        suspendEntry();
      }
    }
    Thread.sleep(SETTLE_TIME.toMillis());
    entries.stopCallers();
    Thread.sleep(SETTLE_TIME.toMillis());
  }

  private static CallerRequest newRequest(String id, UniformRandomProvider random) {
    Kind kind = random.nextInt(KINDS) == 0 ? Kind.ORDER : Kind.LOOKUP;
    return new CallerRequest(kind, id, WORK, CALLER_TIME, 0);
  }

  /** Publishes a configuration with another key beside that of the callers. */
  private void accept(int round) {
    fleet.accept(List.of(FleetStandIn.KEY, "round-" + round), CALLER_TIME, LATENCY_TARGET);
  }

  private void schedule(Silence silence) {
    TargetStandIn target = fleet.getDesks().get(silence.target());
    timer.schedule(
        () -> {
          long nanos = System.nanoTime();
          target.suspend(Duration.ofMillis(silence.millis()));
          long untilNanos = nanos + Duration.ofMillis(silence.millis()).toNanos();
          silentTimes.add(new SilentTime(target.getId(), nanos, untilNanos));
        },
        silence.startMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Suspends the process of an entry for a time. */
  private void suspendEntry() {
    EntryLife life = getLives().get(random.nextInt(getLives().size()));
    int delay = random.nextInt(MAX_ENTRY_DELAY_MILLIS);
    int pause =
        MIN_ENTRY_PAUSE_MILLIS + random.nextInt(MAX_ENTRY_PAUSE_MILLIS - MIN_ENTRY_PAUSE_MILLIS);
    timer.schedule(() -> signal(life, "STOP"), delay, TimeUnit.MILLISECONDS);
    timer.schedule(() -> signal(life, "CONT"), delay + pause, TimeUnit.MILLISECONDS);
  }

  private static void signal(EntryLife life, String signal) {
    try {
      life.signal(signal);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    entries.close();
    fleet.close();
  }
}
