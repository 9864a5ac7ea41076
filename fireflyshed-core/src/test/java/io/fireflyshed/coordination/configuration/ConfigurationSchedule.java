package io.fireflyshed.coordination.configuration;

import io.fireflyshed.faults.FaultKind;
import io.fireflyshed.faults.FaultPlan;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates operators and processes in virtual time, with network partitions, pauses, restarts and
 * lost responses drawn from a seed, and checks the guarantees on configuration versions.
 */
public final class ConfigurationSchedule {

  /** A defect injected into the simulation, which the checks must detect. */
  public enum Mistake {
    /** No defect. */
    NONE,
    /** Numbers a version by the operator's clock instead of the base version. */
    VERSION_FROM_CLOCK,
    /** Puts the first version in force when a process starts. */
    REAPPLY_ON_START,
    /** Dates evidence to the arrival of the response instead of the moment before the read. */
    EVIDENCE_DATED_ON_ARRIVAL
  }

  static final int ZONES = 3;
  private static final int PROCESSES_PER_ZONE = 2;
  private static final int STORE = ZONES;
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long FAULTS_END_NANOS = 20_000 * NANOS_PER_MILLI;
  private static final long END_NANOS = 32_000 * NANOS_PER_MILLI;
  private static final long TICK_NANOS = 500 * NANOS_PER_MILLI;
  private static final long DRIFT_TOLERANCE_NANOS = 10 * NANOS_PER_MILLI;
  private static final FollowerSettings SETTINGS = FollowerSettings.ofDefaults();

  private record Event(long timeNanos, long sequence, Runnable task) {}

  private final UniformRandomProvider random;
  private final Mistake defect;
  private final FaultPlan plan;
  private final SimulatedStore store = new SimulatedStore();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeNanos).thenComparing(Event::sequence));
  private final boolean[][] isLinkDown = new boolean[ZONES + 1][ZONES + 1];
  private final List<Process> processes = new ArrayList<>();
  private final Map<Integer, String> stepsByOperator = new HashMap<>();
  private final Map<String, CommitOutcome> outcomes = new HashMap<>();
  private long nowNanos;
  private long nextSequence;
  private int nextId;
  private final boolean[] wasPartitionedInside = new boolean[ZONES + 1];
  private boolean isSlow;

  ConfigurationSchedule(long seed, Mistake defect) {
    this(seed, defect, FaultPlan.ofAll());
  }

  /** Creates a schedule that injects the faults of a plan. */
  public ConfigurationSchedule(long seed, Mistake defect, FaultPlan plan) {
    this.plan = plan;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule. Throws an {@link AssertionError} that names the violated guarantee. */
  public void run() {
    for (int i = 0; i < ZONES * PROCESSES_PER_ZONE; i++) {
      startProcess(i % ZONES);
    }
    int operators = plan.strikes("Commit", FaultKind.TWO_OPERATORS, true) ? 2 : 1;
    for (int i = 0; i < operators; i++) {
      new Operator(i).scheduleNext();
    }
    scheduleFault();
    scheduleAt(FAULTS_END_NANOS, this::endFaults);
    while (!events.isEmpty() && events.peek().timeNanos() < END_NANOS) {
      Event event = events.poll();
      nowNanos = event.timeNanos();
      event.task().run();
    }
    checkEnd();
  }

  int getAcceptedCount() {
    return store.getLength();
  }

  private void scheduleAt(long timeNanos, Runnable task) {
    events.add(new Event(timeNanos, nextSequence++, task));
  }

  private long drawDelayNanos() {
    return NANOS_PER_MILLI + random.nextLong((isSlow ? 1_500 : 80) * NANOS_PER_MILLI);
  }

  private void scheduleFault() {
    scheduleAt(nowNanos + random.nextLong(1_500 * NANOS_PER_MILLI), this::injectFault);
  }

  private void injectFault() {
    if (nowNanos >= FAULTS_END_NANOS) {
      return;
    }
    int from = random.nextInt(ZONES + 1);
    int to = random.nextInt(ZONES + 1);
    int fault = random.nextInt(5);
    FaultKind kind = toKind(fault, from, to);
    boolean isEnabled = plan.isEnabled(kind);
    getSteps().forEach(step -> plan.strikes(step, kind, true));
    if (isEnabled) {
      applyFault(fault, from, to);
    }
    scheduleFault();
  }

  private static FaultKind toKind(int fault, int from, int to) {
    return switch (fault) {
      case 0, 1 -> from == STORE || to == STORE ? FaultKind.PLATFORM_CUT : FaultKind.PEERS_CUT;
      case 2 -> FaultKind.STORE_SLOW;
      case 3 -> FaultKind.ENTRY_PAUSES;
      default -> FaultKind.ENTRY_DIES;
    };
  }

  /** Returns the steps in progress. */
  private Set<String> getSteps() {
    Set<String> steps = new TreeSet<>(stepsByOperator.values());
    boolean isSpreading =
        processes.stream().anyMatch(p -> p.getInForceIndex() < store.getLength() - 1);
    if (isSpreading) {
      steps.add("spread");
    }
    if (processes.stream().anyMatch(p -> p.getInForceIndex() < 0)) {
      steps.add("join");
    }
    return steps.isEmpty() ? Set.of("all in force") : steps;
  }

  private void applyFault(int fault, int from, int to) {
    switch (fault) {
      case 0, 1 -> {
        isLinkDown[from][to] = true;
        wasPartitionedInside[from] |= from == to;
        scheduleAt(
            nowNanos + random.nextLong(8_000 * NANOS_PER_MILLI),
            () -> isLinkDown[from][to] = false);
      }
      case 2 -> isSlow = !isSlow;
      case 3 -> processes.get(random.nextInt(processes.size())).pause();
      default -> {
        Process old = processes.remove(random.nextInt(processes.size()));
        old.isAlive = false;
        startProcess(old.zone);
      }
    }
  }

  private void endFaults() {
    isSlow = false;
    for (boolean[] links : isLinkDown) {
      java.util.Arrays.fill(links, false);
    }
  }

  private void startProcess(int zone) {
    Process process = new Process(zone);
    processes.add(process);
    process.start();
  }

  private void checkEnd() {
    for (Process process : processes) {
      require(
          process.follower.isCurrent(process.readClock()),
          "a process is behind after all faults ended");
      require(
          process.getInForceIndex() == store.getLength() - 1,
          "an accepted version is not in force at the end");
    }
    outcomes.forEach(
        (attempt, outcome) -> {
          if (outcome instanceof CommitOutcome.Accepted) {
            require(store.hasAttempt(attempt), "an accepted version was lost");
          } else if (!(outcome instanceof CommitOutcome.Undecided)) {
            require(!store.hasAttempt(attempt), "a refused version was accepted");
          }
        });
  }

  private static void require(boolean isSatisfied, String violation) {
    if (!isSatisfied) {
      throw new AssertionError(violation);
    }
  }

  /** A process with its own clock and follower. */
  private final class Process {

    private final PeerId id = new PeerId("p" + (1_000 + nextId++));
    private final int zone;
    private final long clockOffsetNanos = random.nextLong(1L << 50) - (1L << 49);
    private final long driftPerMillion = random.nextInt(1_001) - 500;
    private final ConfigurationFollower follower;
    private final Map<Process, Integer> peerIndexesAtStart = new HashMap<>();
    private boolean isAlive = true;
    private boolean wasPaused;
    private long pausedUntilNanos;
    private int inForceIndex = -1;

    Process(int zone) {
      this.zone = zone;
      this.follower = new ConfigurationFollower(id, SETTINGS, random, readClock());
    }

    long readClock() {
      return clockOffsetNanos + nowNanos + nowNanos / 1_000_000 * driftPerMillion;
    }

    int getInForceIndex() {
      return inForceIndex;
    }

    void start() {
      findZonePeers().forEach(peer -> peerIndexesAtStart.put(peer, peer.inForceIndex));
      if (defect == Mistake.REAPPLY_ON_START && store.getLength() > 0) {
        perform(follower.onBody(store.readVersion(1).orElseThrow()));
      }
      scheduleAt(nowNanos + random.nextLong(TICK_NANOS), () -> deliver(this::tick));
    }

    void pause() {
      pausedUntilNanos = nowNanos + random.nextLong(6_000 * NANOS_PER_MILLI);
      wasPaused = true;
    }

    /** Runs a task unless the process is dead; a paused process runs it on resuming. */
    void deliver(Runnable task) {
      if (!isAlive) {
        return;
      }
      if (nowNanos < pausedUntilNanos) {
        scheduleAt(pausedUntilNanos, () -> deliver(task));
        return;
      }
      task.run();
      checkLease();
    }

    private void tick() {
      List<PeerId> zonePeers = findZonePeers().stream().map(p -> p.id).toList();
      List<PeerId> remotePeers =
          processes.stream().filter(p -> p.zone != zone).map(p -> p.id).toList();
      checkLease();
      perform(follower.onTick(zonePeers, remotePeers, readClock()));
      scheduleAt(nowNanos + TICK_NANOS, () -> deliver(this::tick));
    }

    private List<Process> findZonePeers() {
      return processes.stream().filter(p -> p.zone == zone && p != this).toList();
    }

    private void checkLease() {
      long leaseNanos = SETTINGS.leaseLength().toNanos();
      if (follower.isCurrent(readClock())) {
        int requiredIndex = store.findLastAcceptedBy(nowNanos - leaseNanos - DRIFT_TOLERANCE_NANOS);
        require(
            inForceIndex >= requiredIndex,
            "a process that considers itself current lacks an accepted version");
      }
    }

    private void perform(List<FollowerAction> actions) {
      actions.forEach(this::perform);
    }

    private void perform(FollowerAction action) {
      if (action instanceof FollowerAction.ReadHead) {
        readHead();
      } else if (action instanceof FollowerAction.AskPeer ask) {
        askPeer(ask.peer());
      } else if (action instanceof FollowerAction.FetchBody fetch) {
        fetch(fetch);
      } else if (action instanceof FollowerAction.PutInForce put) {
        putInForce(put.record());
      }
    }

    private void readHead() {
      long sentNanos = readClock();
      send(
          zone,
          STORE,
          () -> {
            Optional<ConfigurationRecord> head = store.readHead().map(h -> h.record());
            send(STORE, zone, () -> deliver(() -> onHead(head, sentNanos)));
          });
    }

    private void onHead(Optional<ConfigurationRecord> head, long sentNanos) {
      boolean isDatedOnArrival = defect == Mistake.EVIDENCE_DATED_ON_ARRIVAL;
      perform(follower.onHead(head, isDatedOnArrival ? readClock() : sentNanos));
    }

    private void askPeer(PeerId peer) {
      long askedNanos = readClock();
      for (Process process : List.copyOf(processes)) {
        if (process.id.equals(peer)) {
          send(zone, process.zone, () -> process.deliver(() -> answerFrom(process, askedNanos)));
        }
      }
    }

    private void answerFrom(Process peer, long askedNanos) {
      PeerAnswer answer = peer.follower.answer(peer.readClock());
      send(
          peer.zone,
          zone,
          () -> deliver(() -> perform(follower.onAnswer(peer.id, answer, askedNanos))));
    }

    private void fetch(FollowerAction.FetchBody fetch) {
      int source =
          processes.stream()
              .filter(p -> Optional.of(p.id).equals(fetch.source()))
              .map(p -> p.zone)
              .findFirst()
              .orElse(STORE);
      boolean isRefused = plan.strikes("spread", FaultKind.STORE_DOWN, random.nextInt(10) == 0);
      boolean isFailed = isRefused || isLinkDown[zone][source] || isLinkDown[source][zone];
      scheduleAt(
          nowNanos + drawDelayNanos(),
          () ->
              deliver(
                  () -> {
                    if (isFailed) {
                      follower.onFetchFailed();
                    } else {
                      perform(follower.onBody(fetch.record()));
                    }
                  }));
    }

    private void putInForce(ConfigurationRecord record) {
      int index = store.indexOf(record);
      require(index >= 0, "a version is in force that was not accepted");
      require(index > inForceIndex, "a process put an older version in force");
      if (inForceIndex < 0) {
        peerIndexesAtStart.forEach(
            (peer, peerIndex) ->
                require(
                    index >= peerIndex
                        || peer.wasPaused
                        || !peer.isAlive
                        || wasPartitionedInside[zone],
                    "a replacement process put an older version in force"));
      }
      inForceIndex = index;
      processes.stream().filter(p -> p != this).forEach(p -> notifyPeer(p, record.version()));
    }

    private void notifyPeer(Process peer, long version) {
      boolean isLost = plan.strikes("spread", FaultKind.EVENTS_DISORDERED, random.nextInt(4) == 0);
      if (!isLost) {
        send(
            zone,
            peer.zone,
            () -> peer.deliver(() -> peer.perform(peer.follower.onNotice(id, version))));
      }
    }
  }

  private void send(int from, int to, Runnable task) {
    if (!isLinkDown[from][to]) {
      scheduleAt(
          nowNanos + (from == to ? NANOS_PER_MILLI * (1 + random.nextInt(20)) : drawDelayNanos()),
          task);
    }
  }

  /** An operator that makes changes based on the head read last and resolves lost responses. */
  private final class Operator {

    private final int number;
    private final long clockSkewNanos = random.nextLong(20_000 * NANOS_PER_MILLI);
    private int attempts;

    Operator(int number) {
      this.number = number;
    }

    void scheduleNext() {
      long timeNanos = nowNanos + random.nextLong(2_500 * NANOS_PER_MILLI);
      if (timeNanos < FAULTS_END_NANOS) {
        scheduleAt(timeNanos, this::readBaseVersion);
      }
    }

    private void readBaseVersion() {
      long baseVersion = store.readHead().map(h -> h.record().version()).orElse(0L);
      scheduleAt(nowNanos + random.nextLong(300 * NANOS_PER_MILLI), () -> startCommit(baseVersion));
    }

    private void startCommit(long baseVersion) {
      String attempt = "operator-" + number + "-" + attempts++;
      ConfigurationRecord record =
          new ConfigurationRecord(baseVersion + 1, attempt, "o" + number, "d" + attempt, "change");
      ConfigurationCommit commit = new ConfigurationCommit(record, 6);
      perform(commit, commit.start());
    }

    private void perform(ConfigurationCommit commit, CommitStep step) {
      if (step instanceof CommitStep.Finish finish) {
        finish(commit, finish.outcome());
        return;
      }
      String stepName = step.getClass().getSimpleName();
      stepsByOperator.put(number, stepName);
      boolean isRefused = plan.strikes(stepName, FaultKind.STORE_DOWN, random.nextInt(8) == 0);
      if (isRefused) {
        scheduleAt(nowNanos + drawDelayNanos(), () -> perform(commit, commit.onFailure(false)));
      } else if (step instanceof CommitStep.ReadHead) {
        respond(commit, () -> commit.onHead(store.readHead()));
      } else if (step instanceof CommitStep.WriteBody) {
        respond(commit, commit::onBodyWritten);
      } else if (step instanceof CommitStep.ReadVersion read) {
        respond(commit, () -> commit.onVersion(store.readVersion(read.version())));
      } else if (step instanceof CommitStep.Commit commitStep) {
        commit(commit, commitStep);
      }
    }

    private void respond(ConfigurationCommit commit, java.util.function.Supplier<CommitStep> next) {
      scheduleAt(nowNanos + drawDelayNanos(), () -> perform(commit, next.get()));
    }

    private void commit(ConfigurationCommit commit, CommitStep.Commit commitStep) {
      boolean isLost = plan.strikes("Commit", FaultKind.ANSWER_LOST, random.nextInt(4) == 0);
      long extraDelayNanos = isLost ? random.nextLong(4_000 * NANOS_PER_MILLI) : 0;
      scheduleAt(
          nowNanos + drawDelayNanos() + extraDelayNanos,
          () -> {
            boolean isCommitted =
                store.commit(
                    toStoredRecord(commitStep.record()), commitStep.headRowVersion(), nowNanos);
            if (!isLost) {
              scheduleAt(
                  nowNanos + drawDelayNanos(),
                  () -> perform(commit, commit.onCommitAnswer(isCommitted)));
            }
          });
      if (isLost) {
        scheduleAt(
            nowNanos + 1_000 * NANOS_PER_MILLI, () -> perform(commit, commit.onFailure(true)));
      }
    }

    private ConfigurationRecord toStoredRecord(ConfigurationRecord record) {
      if (defect != Mistake.VERSION_FROM_CLOCK) {
        return record;
      }
      long version = 1 + (nowNanos + clockSkewNanos) / NANOS_PER_MILLI;
      return new ConfigurationRecord(
          version, record.attempt(), record.author(), record.digest(), record.summary());
    }

    private void finish(ConfigurationCommit commit, CommitOutcome outcome) {
      stepsByOperator.remove(number);
      outcomes.put("operator-" + number + "-" + (attempts - 1), outcome);
      scheduleNext();
    }
  }
}
