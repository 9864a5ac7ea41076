package io.fireflyshed.transport.poison;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashLedger;
import io.fireflyshed.coordination.poison.CrashSettings;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates entries that send prompts to replicas in virtual time, where prompts with one part
 * crash the replica that begins to write on them. All other requests of the replica are interrupted
 * and retried once by the entry and once by the caller.
 */
final class CrashStorm {

  /** The part that crashes replicas, and the part that all prompts have. */
  private static final String BAD_PART = "bad";

  private static final String COMMON_PART = "common";
  private static final ServiceName SERVICE = new ServiceName("cards");

  private static final Duration STEP = Duration.ofMillis(10);
  private static final int STEPS_PER_SECOND = 100;
  private static final int REPLICAS = 12;
  private static final int SESSIONS = 60;
  private static final int MAX_ATTEMPTS = 4;

  /** The probability that a request arrives in a step. */
  private static final double SOUND_RATE = 0.4;

  private static final double MAX_BAD_RATE = 0.06;

  private static final Duration MIN_WAIT = Duration.ofMillis(150);
  private static final Duration MAX_WAIT = Duration.ofMillis(1500);
  private static final Duration STREAM_TIME = Duration.ofMillis(1500);
  private static final Duration DOWN_TIME = Duration.ofSeconds(5);

  /** The time after the fifth crash from which few attempts with the part are allowed. */
  private static final int RECOGNITION_STEPS = 3 * STEPS_PER_SECOND;

  private static final int CRASHES_BEFORE_REFUSAL = 5;

  /** One prompt on its way through several attempts. */
  private final class Prompt {
    private final boolean isBad;
    private final RequestFingerprints fingerprints;
    private final CrashReportExchange entry;
    private int attempts;
    private boolean hasStarted;
    private boolean isDone;

    Prompt(int number, boolean isBad) {
      this.isBad = isBad;
      this.entry = entries.get(random.nextInt(entries.size()));
      // The product makes sessions with low numbers more frequent.
      double session = random.nextDouble() * random.nextDouble() * SESSIONS;
      String part = isBad ? BAD_PART : "session-" + (int) session;
      fingerprints =
          new RequestFingerprints(
              new CrashFingerprint(CrashFingerprint.Kind.REQUEST, "request-" + number),
              Set.of(
                  CrashFingerprint.ofPart(SERVICE, COMMON_PART),
                  CrashFingerprint.ofPart(SERVICE, part)));
    }

    void send() {
      if (entry.getRefusal(fingerprints).isPresent()) {
        return;
      }
      List<Replica> available = replicas.stream().filter(r -> r.isUp).toList();
      if (available.isEmpty() || attempts == MAX_ATTEMPTS) {
        return;
      }
      attempts++;
      lateAttempts += isBad && step - fifthCrashStep > RECOGNITION_STEPS ? 1 : 0;
      hasStarted = false;
      Replica replica = available.get(random.nextInt(available.size()));
      for (Replica other : available) {
        replica = other.prompts.size() < replica.prompts.size() ? other : replica;
      }
      replica.run(this);
    }
  }

  /** One replica, which restarts after a crash. */
  private final class Replica {
    private final String id;
    private final List<Prompt> prompts = new ArrayList<>();
    private long start;
    private boolean isUp = true;

    Replica(int number) {
      this.id = "replica-" + number;
    }

    void run(Prompt prompt) {
      prompts.add(prompt);
      long runStart = start;
      long wait = MIN_WAIT.toMillis() + random.nextLong(MAX_WAIT.minus(MIN_WAIT).toMillis());
      tasks.schedule(
          () -> {
            if (start == runStart) {
              onFirstPart(prompt);
            }
          },
          wait,
          TimeUnit.MILLISECONDS);
    }

    private void onFirstPart(Prompt prompt) {
      if (prompt.isBad) {
        crash();
        return;
      }
      prompt.hasStarted = true;
      prompt.entry.onSuccess(prompt.fingerprints);
      tasks.schedule(
          () -> {
            prompt.isDone = true;
            prompts.remove(prompt);
          },
          STREAM_TIME.toMillis(),
          TimeUnit.MILLISECONDS);
    }

    private void crash() {
      crashes++;
      fifthCrashStep = crashes == CRASHES_BEFORE_REFUSAL ? step : fifthCrashStep;
      Target target = newTarget();
      List<Prompt> interrupted = List.copyOf(prompts);
      prompts.clear();
      start++;
      isUp = false;
      tasks.schedule(this::restart, DOWN_TIME.toMillis(), TimeUnit.MILLISECONDS);
      for (Prompt prompt : interrupted) {
        if (!prompt.hasStarted) {
          prompt.entry.onInterrupted(prompt.fingerprints, target);
        }
        if (!prompt.isDone) {
          prompt.send();
        }
      }
    }

    private void restart() {
      isUp = true;
    }

    private Target newTarget() {
      return new Target(
          new InstanceId(id),
          SERVICE,
          InetSocketAddress.createUnresolved("127.0.0.1", 1),
          new AvailabilityZone("a"),
          false,
          1,
          start,
          Optional.empty());
    }
  }

  private final ManualClock clock = new ManualClock();
  private final ManualScheduler tasks = new ManualScheduler(clock);
  private final SharedTable table = new SharedTable(clock);
  private final UniformRandomProvider random;
  private final List<ManualScheduler> controls = new ArrayList<>();
  private final List<CrashReportExchange> entries = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private final double badRate;
  private int step;
  private int requests;
  private int crashes;
  private int fifthCrashStep = Integer.MAX_VALUE;
  private int lateAttempts;

  CrashStorm(int entryCount, long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    badRate = MAX_BAD_RATE * (0.1 + 0.9 * random.nextDouble());
    for (int i = 0; i < entryCount; i++) {
      ManualScheduler control = new ManualScheduler(clock);
      SharedTable.Access access = table.new Access();
      CrashReportExchange exchange =
          new CrashReportExchange(
              access,
              access,
              ReportWriter.none(),
              "entry-" + i,
              new CrashLedger(CrashSettings.ofDefaults()),
              control,
              clock,
              SharedTable.newSharedClock(clock, clock),
              random);
      exchange.start();
      controls.add(control);
      entries.add(exchange);
    }
    for (int i = 0; i < REPLICAS; i++) {
      replicas.add(new Replica(i));
    }
  }

  /** Plays sound prompts for a while, then prompts of both kinds. */
  void play(int soundSeconds, int mixedSeconds) {
    int badFrom = soundSeconds * STEPS_PER_SECOND;
    int end = badFrom + mixedSeconds * STEPS_PER_SECOND;
    for (step = 0; step < end; step++) {
      clock.advance(STEP);
      table.runDue();
      tasks.runDue();
      controls.forEach(ManualScheduler::runDue);
      if (random.nextDouble() < SOUND_RATE) {
        new Prompt(requests++, false).send();
      }
      if (step >= badFrom && random.nextDouble() < badRate) {
        new Prompt(requests++, true).send();
      }
    }
  }

  int getCrashes() {
    return crashes;
  }

  int getLateAttempts() {
    return lateAttempts;
  }

  /** Returns the parts other than the culprit that an entry refuses at the end. */
  List<String> getWronglyRefused() {
    List<String> refused = new ArrayList<>();
    for (int i = -1; i < SESSIONS; i++) {
      String part = i < 0 ? COMMON_PART : "session-" + i;
      RequestFingerprints fingerprints =
          new RequestFingerprints(
              new CrashFingerprint(CrashFingerprint.Kind.REQUEST, "none"),
              Set.of(CrashFingerprint.ofPart(SERVICE, part)));
      if (entries.stream().anyMatch(e -> e.getRefusal(fingerprints).isPresent())) {
        refused.add(part);
      }
    }
    return refused;
  }
}
