package io.fireflyshed.bench.configuration;

import io.fireflyshed.coordination.configuration.ConfigurationFollower;
import io.fireflyshed.coordination.configuration.FollowerAction;
import io.fireflyshed.coordination.configuration.FollowerSettings;
import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Spreads changes over the zones of a large site in virtual time; all links work. */
final class LargeSite {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long TICK = 500 * MILLI;
  private static final long MAX_WIRE = 10 * MILLI;
  private static final long MAX_STORE = 200 * MILLI;
  private static final long CHANGE_INTERVAL = TimeUnit.DAYS.toNanos(1) / 17_000;
  private static final int TELLERS = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  private record Event(long atNanos, long order, Runnable step) {}

  private final UniformRandomProvider random;
  private final int rounds;
  private final Histogram millis = new Histogram(2);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparing(Event::order));
  private final List<Process> processes = new ArrayList<>();
  private ConfigurationRecord head;
  private long headNanos;
  private int missing;
  private long now;
  private long nextOrder;
  private long reads;
  private long ticks;

  LargeSite(long seed, int zones, int perZone, int rounds) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.rounds = rounds;
    for (int z = 0; z < zones; z++) {
      List<Process> zone = new ArrayList<>();
      for (int i = 0; i < perZone; i++) {
        zone.add(new Process(new PeerId(String.format("z%02d-%04d", z, i)), zone));
      }
      zone.forEach(Process::connect);
      processes.addAll(zone);
    }
  }

  void run() {
    processes.forEach(p -> at(random.nextLong(TICK), p::tick));
    for (int i = 1; i <= rounds; i++) {
      long version = i;
      at(i * CHANGE_INTERVAL + random.nextLong(TICK), () -> accept(version));
    }
    long end = (rounds + 2) * CHANGE_INTERVAL;
    while (!events.isEmpty() && events.peek().atNanos() < end) {
      Event event = events.poll();
      now = event.atNanos();
      event.step().run();
    }
  }

  Histogram getMillis() {
    return millis;
  }

  double getReadsPerSecond() {
    return reads / (now / NANOS_PER_SECOND);
  }

  /** Gets the reads if each process read the head at each tick. */
  double getReadsPerSecondAlone() {
    return ticks / (now / NANOS_PER_SECOND);
  }

  private void accept(long version) {
    if (missing > 0) {
      throw new IllegalStateException("version " + (version - 1) + " is not in force everywhere");
    }
    head = new ConfigurationRecord(version, "a" + version, "bench", "d" + version, "change");
    headNanos = now;
    missing = processes.size();
  }

  private void at(long nanos, Runnable step) {
    events.add(new Event(nanos, nextOrder++, step));
  }

  private void later(long maxNanos, Runnable step) {
    at(now + MILLI + random.nextLong(maxNanos), step);
  }

  /** One process of a zone. */
  private final class Process {

    private final PeerId id;
    private final List<Process> zone;
    private final Map<PeerId, Process> byId = new HashMap<>();
    private final List<PeerId> peers = new ArrayList<>();
    private final ConfigurationFollower follower;

    Process(PeerId id, List<Process> zone) {
      this.id = id;
      this.zone = zone;
      this.follower = new ConfigurationFollower(id, FollowerSettings.ofDefaults(), random, 0);
    }

    void connect() {
      for (Process process : zone) {
        byId.put(process.id, process);
        if (process != this) {
          peers.add(process.id);
        }
      }
    }

    void tick() {
      ticks++;
      perform(follower.onTick(peers, List.of(), now));
      at(now + TICK, this::tick);
    }

    private void perform(List<FollowerAction> actions) {
      for (FollowerAction action : actions) {
        if (action instanceof FollowerAction.ReadHead) {
          readHead();
        } else if (action instanceof FollowerAction.AskPeer ask) {
          ask(byId.get(ask.peer()));
        } else if (action instanceof FollowerAction.FetchBody fetch) {
          long wait = fetch.source().isPresent() ? MAX_WIRE : MAX_STORE;
          later(2 * wait, () -> perform(follower.onBody(fetch.record())));
        } else if (action instanceof FollowerAction.PutInForce put) {
          putInForce(put.record());
        }
      }
    }

    private void readHead() {
      reads++;
      long sent = now;
      later(
          MAX_STORE,
          () -> {
            Optional<ConfigurationRecord> read = Optional.ofNullable(head);
            later(MAX_WIRE, () -> perform(follower.onHead(read, sent)));
          });
    }

    private void ask(Process peer) {
      long asked = now;
      later(
          MAX_WIRE,
          () -> {
            PeerAnswer answer = peer.follower.answer(now);
            later(MAX_WIRE, () -> perform(follower.onAnswer(peer.id, answer, asked)));
          });
    }

    private void putInForce(ConfigurationRecord record) {
      if (record.equals(head) && --missing == 0) {
        millis.recordValue((now - headNanos) / MILLI);
      }
      if (zone.indexOf(this) < TELLERS) {
        for (PeerId peer : peers) {
          Process process = byId.get(peer);
          later(MAX_WIRE, () -> process.perform(process.follower.onNotice(id, record.version())));
        }
      }
    }
  }
}
