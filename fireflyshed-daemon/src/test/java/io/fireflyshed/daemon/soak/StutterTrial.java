package io.fireflyshed.daemon.soak;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.daemon.soak.StutteringTarget.Pattern;
import io.fireflyshed.standins.fleet.FleetStandIn;
import io.fireflyshed.standins.fleet.TargetCapacity;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Runs entries and callers in front of targets that write more than one response to a request. */
final class StutterTrial implements AutoCloseable {

  private static final double RETRY_RATIO = 0.2;
  private static final int RETRY_SLACK = 100;
  private static final TargetCapacity CAPACITY = new TargetCapacity(18, 18);
  private static final Duration CALLER_TIME = Duration.ofSeconds(3);

  /** The mean time between two requests of a caller is half of it. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(150);

  private static final Duration MAX_IDLE_PAUSE = Duration.ofMillis(500);
  private static final int MAX_IDLE_CALLERS = 24;
  private static final int KINDS = 10;
  private static final int EVENTS = 3;

  private final TrialSettings settings;
  private final Pattern pattern;
  private final FleetStandIn fleet;
  private final List<StutteringTarget> targets = new ArrayList<>();
  private final EntryGroup entries;

  /** Starts targets, of which the last ones are sound, and entries. */
  StutterTrial(TrialSettings settings, Pattern pattern, int soundTargets, Path directory)
      throws IOException {
    this.settings = settings;
    this.pattern = pattern;
    fleet = new FleetStandIn(0, 0, CAPACITY);
    for (int i = 0; i < settings.targets(); i++) {
      boolean isSound = i >= settings.targets() - soundTargets;
      targets.add(
          new StutteringTarget(
              fleet.getStore(), "raw-" + i, settings.seed(), isSound ? Pattern.NONE : pattern));
    }
    entries =
        new EntryGroup(
            settings, RETRY_RATIO, RETRY_SLACK, fleet.getStore().getAddress(), directory);
  }

  List<EntryLife> getLives() {
    return entries.getLives();
  }

  List<CallerAttempt> getAttempts() {
    return entries.getAttempts();
  }

  List<StutteringTarget> getTargets() {
    return targets;
  }

  /** Tests whether an entry runs the program of an earlier version. */
  boolean isEarlier(EntryLife life) {
    return settings.isEarlier(getLives().indexOf(life));
  }

  /** Runs callers for a time. */
  void run(int callers, Duration time) throws Exception {
    entries.awaitServing(List.of(Kind.values()));
    boolean isIdle = pattern == Pattern.IDLE;
    CallerHabits habits =
        new CallerHabits(
            List.of(Caller.Style.KEEP),
            isIdle ? MAX_IDLE_PAUSE : MAX_PAUSE,
            StutterTrial::newRequest);
    entries.startCallers(habits, isIdle ? Math.min(callers, MAX_IDLE_CALLERS) : callers);
    Thread.sleep(time.toMillis());
    entries.stopCallers();
  }

  private static CallerRequest newRequest(String id, UniformRandomProvider random) {
    Kind kind =
        switch (random.nextInt(KINDS)) {
          case 0 -> Kind.ORDER;
          case 1 -> Kind.STREAM;
          default -> Kind.LOOKUP;
        };
    return new CallerRequest(kind, id, Duration.ZERO, CALLER_TIME, EVENTS);
  }

  @Override
  public void close() throws IOException {
    entries.close();
    for (StutteringTarget target : targets) {
      target.close();
    }
    fleet.close();
  }
}
