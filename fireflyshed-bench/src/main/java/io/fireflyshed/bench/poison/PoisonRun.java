package io.fireflyshed.bench.poison;

import io.fireflyshed.bench.EventQueue;
import io.fireflyshed.coordination.poison.PoisonList;
import io.fireflyshed.coordination.poison.PoisonSettings;
import io.fireflyshed.coordination.poison.PoisonVerdict;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sends one request that crashes replicas again and again through all entries, beside innocent
 * requests, in virtual time.
 */
final class PoisonRun {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1000 * MILLI;
  private static final long VERDICT_POLL = 20 * MILLI;
  private static final long PEER_DELAY = 20 * MILLI;
  private static final long CRASH_DELAY = 150 * MILLI;
  private static final long RELOAD_TIME = 120 * SECOND;
  private static final long INNOCENT_TIME = 3 * SECOND;
  private static final int MAX_ATTEMPTS = 3;
  private static final String POISON = "poison";

  /** One request of a caller. */
  private static final class Request {
    final String fingerprint;
    final int entry;
    final Set<Integer> excluded = new HashSet<>();
    int attempts;

    Request(String fingerprint, int entry) {
      this.fingerprint = fingerprint;
      this.entry = entry;
    }
  }

  private final EventQueue events = new EventQueue();
  private final UniformRandomProvider random;
  private final boolean isListed;
  private final int replicas;
  private final List<PoisonList> lists = new ArrayList<>();
  private final Map<Integer, Set<Request>> running = new HashMap<>();
  private final Map<Integer, Long> generations = new HashMap<>();
  private final Set<Integer> down = new HashSet<>();
  private final long resendNanos;
  private int lost;
  private int innocentRefused;
  private int innocentFailed;
  private int innocentDone;
  private int poisonSent;
  private int nextInnocent;

  PoisonRun(boolean isListed, int entries, int replicas, long resendMillis, long seed) {
    this.isListed = isListed;
    this.replicas = replicas;
    this.resendNanos = resendMillis * MILLI;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < entries; i++) {
      lists.add(new PoisonList(PoisonSettings.ofDefaults()));
    }
    for (int i = 0; i < replicas; i++) {
      running.put(i, new LinkedHashSet<>());
      generations.put(i, 1L);
    }
  }

  /** Runs with some innocent requests a second for some seconds. */
  void run(int innocentsPerSecond, int seconds) {
    long gap = SECOND / innocentsPerSecond;
    for (long at = 0; at < seconds * SECOND; at += gap) {
      events.at(at, this::sendInnocent);
    }
    events.at(INNOCENT_TIME, () -> sendPoison(0));
    events.runUntil(seconds * SECOND);
  }

  int getLost() {
    return lost;
  }

  int getInnocentRefused() {
    return innocentRefused;
  }

  int getInnocentFailed() {
    return innocentFailed;
  }

  int getInnocentDone() {
    return innocentDone;
  }

  int getPoisonSent() {
    return poisonSent;
  }

  private void sendInnocent() {
    int entry = random.nextInt(lists.size());
    next(new Request("innocent-" + nextInnocent++, entry));
  }

  private void sendPoison(int entry) {
    poisonSent++;
    next(new Request(POISON, entry));
  }

  private void next(Request request) {
    PoisonList list = lists.get(request.entry);
    PoisonVerdict verdict =
        isListed ? list.getVerdict(request.fingerprint, events.getNow()) : PoisonVerdict.CLEAR;
    if (verdict == PoisonVerdict.UNDECIDED) {
      events.after(VERDICT_POLL, () -> next(request));
      return;
    }
    if (verdict == PoisonVerdict.REFUSED) {
      innocentRefused += isPoison(request) ? 0 : 1;
      end(request);
      return;
    }
    Optional<Integer> choice =
        verdict == PoisonVerdict.SUSPECTED ? isolate(request, list) : chooseAny(request);
    if (choice.isEmpty() || request.attempts == MAX_ATTEMPTS) {
      innocentFailed += isPoison(request) ? 0 : 1;
      end(request);
      return;
    }
    start(request, choice.get());
  }

  private Optional<Integer> isolate(Request request, List<Integer> open, PoisonList list) {
    List<ReplicaId> ids = open.stream().map(PoisonRun::toId).toList();
    return list.isolate(request.fingerprint, ids, events.getNow())
        .map(id -> Integer.parseInt(id.value().substring(1)));
  }

  private Optional<Integer> isolate(Request request, PoisonList list) {
    return isolate(request, getOpen(request), list);
  }

  private Optional<Integer> chooseAny(Request request) {
    List<Integer> open = getOpen(request);
    return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
  }

  private List<Integer> getOpen(Request request) {
    List<Integer> open = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      if (!down.contains(i) && !request.excluded.contains(i)) {
        open.add(i);
      }
    }
    return open;
  }

  private void start(Request request, int replica) {
    request.attempts++;
    request.excluded.add(replica);
    running.get(replica).add(request);
    if (isPoison(request)) {
      events.after(CRASH_DELAY, () -> crash(request, replica));
    } else {
      events.after(INNOCENT_TIME, () -> complete(request, replica));
    }
  }

  private void complete(Request request, int replica) {
    if (!running.get(replica).remove(request)) {
      return;
    }
    innocentDone++;
    PoisonList list = lists.get(request.entry);
    if (list.onCompleted(request.fingerprint)) {
      tellPeers(request.entry, l -> l.onCompleted(request.fingerprint));
    }
  }

  private void crash(Request cause, int replica) {
    if (!running.get(replica).contains(cause)) {
      return;
    }
    lost++;
    down.add(replica);
    long generation = generations.merge(replica, 1L, Long::sum);
    List<Request> broken = List.copyOf(running.get(replica));
    running.get(replica).clear();
    broken.forEach(request -> onLost(request, replica, generation));
    broken.forEach(r -> events.after(random.nextLong(50) * MILLI, () -> next(r)));
    events.after(RELOAD_TIME, () -> down.remove(replica));
  }

  private void onLost(Request request, int replica, long generation) {
    ReplicaId id = toId(replica);
    PoisonList list = lists.get(request.entry);
    list.onCrash(request.fingerprint, id, generation, events.getNow());
    tellPeers(request.entry, l -> l.onCrash(request.fingerprint, id, generation, events.getNow()));
  }

  private void tellPeers(int sender, java.util.function.Consumer<PoisonList> notice) {
    for (int i = 0; i < lists.size(); i++) {
      if (i != sender) {
        PoisonList list = lists.get(i);
        events.after(PEER_DELAY, () -> notice.accept(list));
      }
    }
  }

  /** Ends a request; the caller of the harmful one sends it again through another entry. */
  private void end(Request request) {
    if (isPoison(request)) {
      int entry = (request.entry + 1) % lists.size();
      events.after(resendNanos, () -> sendPoison(entry));
    }
  }

  private static boolean isPoison(Request request) {
    return request.fingerprint.equals(POISON);
  }

  private static ReplicaId toId(int replica) {
    return new ReplicaId("r" + replica);
  }
}
