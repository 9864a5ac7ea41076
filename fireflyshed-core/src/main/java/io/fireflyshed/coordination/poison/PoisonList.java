package io.fireflyshed.coordination.poison;

import io.fireflyshed.state.replica.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds requests that crash the replicas that run them.
 *
 * <p>All requests that were running when a replica crashed are suspected. A suspect runs apart from
 * other suspects, so a second crash with a single suspect names the culprit, which is refused; the
 * requests that merely ran beside it are not blamed. A suspect that completes is cleared. If many
 * replicas crash at once, the cause is an outage and no request is blamed. Everything is forgotten
 * in time. Thread safe.
 *
 * <pre>{@code
 * PoisonList list = new PoisonList(PoisonSettings.ofDefaults());
 * list.onCrash("bad", new ReplicaId("r1"), 1, 0);
 * list.onCrash("innocent", new ReplicaId("r1"), 1, 0);
 * list.onCompleted("innocent");
 * list.onCrash("bad", new ReplicaId("r2"), 1, 5_000_000_000L);
 * PoisonVerdict verdict = list.getVerdict("bad", 6_000_000_000L); // REFUSED
 * }</pre>
 */
public final class PoisonList {

  /** One crash of a replica. */
  private record CrashId(ReplicaId replica, long generation) {}

  /** A crash and what was running in it. */
  private static final class Crash {
    final long atNanos;
    final Set<String> fingerprints = new HashSet<>();

    Crash(long atNanos) {
      this.atNanos = atNanos;
    }
  }

  private final PoisonSettings settings;
  private final Map<CrashId, Crash> crashes = new LinkedHashMap<>();
  private final Map<String, List<Crash>> byFingerprint = new LinkedHashMap<>();

  /**
   * Creates an empty list.
   *
   * @param settings the limits, not null
   */
  public PoisonList(PoisonSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Takes in that a request was running when a replica crashed. Taking it in again changes nothing.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @param replica the replica, not null
   * @param generation the generation of the replica
   * @param nowNanos the reading of the monotonic clock
   * @return whether it was news
   */
  public synchronized boolean onCrash(
      String fingerprint, ReplicaId replica, long generation, long nowNanos) {
    expire(nowNanos);
    Crash crash =
        crashes.computeIfAbsent(new CrashId(replica, generation), c -> new Crash(nowNanos));
    if (!crash.fingerprints.add(fingerprint)) {
      return false;
    }
    byFingerprint.computeIfAbsent(fingerprint, f -> new ArrayList<>()).add(crash);
    if (byFingerprint.size() > settings.maxFingerprints()) {
      forget(byFingerprint.keySet().iterator().next());
    }
    return true;
  }

  /**
   * Takes in that a request ran to its end, or that an operator cleared it.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @return whether it was suspected before
   */
  public synchronized boolean onCompleted(String fingerprint) {
    return forget(fingerprint);
  }

  /**
   * Gets how a request may be run.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the verdict, never null
   */
  public synchronized PoisonVerdict getVerdict(String fingerprint, long nowNanos) {
    expire(nowNanos);
    List<Crash> own = byFingerprint.get(fingerprint);
    if (own == null) {
      return PoisonVerdict.CLEAR;
    }
    if (nowNanos - own.get(own.size() - 1).atNanos < settings.settleTime().toNanos()) {
      return PoisonVerdict.UNDECIDED;
    }
    if (isCulprit(fingerprint)) {
      return PoisonVerdict.REFUSED;
    }
    boolean isExplained =
        own.stream().allMatch(c -> isOutage(fingerprint, c) || hasOtherCulprit(c));
    return isExplained ? PoisonVerdict.CLEAR : PoisonVerdict.SUSPECTED;
  }

  /**
   * Chooses the replica on which a suspect runs, apart from all other suspects. Processes that know
   * the same suspects and replicas choose the same.
   *
   * <p>Each suspect in turn takes the free replica that it prefers by rendezvous hashing (Thaler
   * and Ravishankar, 1998).
   *
   * @param fingerprint the fingerprint of the suspect, not null
   * @param replicas the replicas that may run it, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the choice, or empty if there are more suspects than replicas
   */
  public synchronized Optional<ReplicaId> isolate(
      String fingerprint, List<ReplicaId> replicas, long nowNanos) {
    Set<ReplicaId> free = new HashSet<>(replicas);
    for (String suspect : new TreeSet<>(byFingerprint.keySet())) {
      if (suspect.equals(fingerprint)) {
        return choose(suspect, free);
      }
      if (getVerdict(suspect, nowNanos) == PoisonVerdict.SUSPECTED) {
        choose(suspect, free).ifPresent(free::remove);
      }
    }
    return Optional.empty();
  }

  /**
   * Gets the suspected and the refused requests.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the entries, oldest first, never null
   */
  public synchronized List<PoisonEntry> getEntries(long nowNanos) {
    expire(nowNanos);
    List<PoisonEntry> entries = new ArrayList<>();
    byFingerprint.forEach(
        (fingerprint, own) -> {
          PoisonVerdict verdict = getVerdict(fingerprint, nowNanos);
          if (verdict != PoisonVerdict.CLEAR) {
            long last = own.get(own.size() - 1).atNanos;
            Duration left = settings.expiry().minusNanos(nowNanos - last);
            entries.add(new PoisonEntry(fingerprint, verdict, own.size(), left));
          }
        });
    return entries;
  }

  private static Optional<ReplicaId> choose(String fingerprint, Set<ReplicaId> replicas) {
    return replicas.stream()
        .max(
            (a, b) ->
                Long.compareUnsigned(
                    RendezvousHash.score(fingerprint, a), RendezvousHash.score(fingerprint, b)));
  }

  /** Tests whether a request was the only suspect in a crash after its first one. */
  private boolean isCulprit(String fingerprint) {
    List<Crash> own = byFingerprint.getOrDefault(fingerprint, List.of());
    return own.size() > 1
        && own.stream()
            .filter(c -> !isOutage(fingerprint, c))
            .skip(1)
            .anyMatch(c -> isOnlySuspect(fingerprint, c));
  }

  private boolean isOnlySuspect(String fingerprint, Crash crash) {
    return crash.fingerprints.stream()
        .noneMatch(f -> !f.equals(fingerprint) && hasCrashBefore(f, crash));
  }

  private boolean hasCrashBefore(String fingerprint, Crash crash) {
    return byFingerprint.getOrDefault(fingerprint, List.of()).indexOf(crash) > 0;
  }

  private boolean hasOtherCulprit(Crash crash) {
    return crash.fingerprints.stream().anyMatch(this::isCulprit);
  }

  /** Tests whether enough replicas that did not run a request crashed at about the same time. */
  private boolean isOutage(String fingerprint, Crash crash) {
    long window = settings.outageWindow().toNanos();
    long others =
        crashes.values().stream()
            .filter(c -> Math.abs(c.atNanos - crash.atNanos) <= window)
            .filter(c -> !c.fingerprints.contains(fingerprint))
            .count();
    return others >= settings.outageReplicas() - 1;
  }

  /**
   * Tests whether nothing is suspected.
   *
   * @return true if every request is clear
   */
  public synchronized boolean isEmpty() {
    return byFingerprint.isEmpty();
  }

  private boolean forget(String fingerprint) {
    List<Crash> own = byFingerprint.remove(fingerprint);
    if (own != null) {
      own.forEach(c -> c.fingerprints.remove(fingerprint));
    }
    return own != null;
  }

  private void expire(long nowNanos) {
    long expiry = settings.expiry().toNanos();
    Iterator<Crash> oldest = crashes.values().iterator();
    while (oldest.hasNext()) {
      Crash crash = oldest.next();
      if (nowNanos - crash.atNanos < expiry) {
        return;
      }
      oldest.remove();
      for (String fingerprint : crash.fingerprints) {
        byFingerprint.computeIfPresent(
            fingerprint,
            (f, own) -> {
              own.remove(crash);
              return own.isEmpty() ? null : own;
            });
      }
    }
  }
}
