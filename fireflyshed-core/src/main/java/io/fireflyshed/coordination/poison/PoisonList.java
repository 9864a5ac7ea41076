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
 * Detects requests that crash the replicas that run them.
 *
 * <p>Every request that was running when a replica crashed becomes a suspect. Suspects run apart
 * from each other, so a second crash with a single suspect identifies the culprit, which is
 * refused; the requests that ran beside it are not blamed. A suspect that completes is cleared. If
 * several replicas crash at about the same time, the cause is taken to be an outage and no request
 * is blamed. Crashes are forgotten after the expiry. Thread safe.
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

  /** Identifies a crash by the replica and its generation. */
  private record CrashId(ReplicaId replica, long generation) {}

  /** The time of a crash and the requests that were running. */
  private static final class Crash {
    final long timeNanos;
    final Set<String> fingerprints = new HashSet<>();

    Crash(long timeNanos) {
      this.timeNanos = timeNanos;
    }
  }

  private final PoisonSettings settings;
  private final Map<CrashId, Crash> crashesById = new LinkedHashMap<>();
  private final Map<String, List<Crash>> crashesByFingerprint = new LinkedHashMap<>();

  /**
   * Creates an empty list.
   *
   * @param settings the settings, not null
   */
  public PoisonList(PoisonSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Records that a request was running when a replica crashed. Recording it again has no effect.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @param replica the replica, not null
   * @param generation the generation of the replica
   * @param nowNanos the current reading of the monotonic clock
   * @return whether it was not recorded before
   */
  public synchronized boolean onCrash(
      String fingerprint, ReplicaId replica, long generation, long nowNanos) {
    forgetExpired(nowNanos);
    Crash crash =
        crashesById.computeIfAbsent(new CrashId(replica, generation), id -> new Crash(nowNanos));
    if (!crash.fingerprints.add(fingerprint)) {
      return false;
    }
    crashesByFingerprint.computeIfAbsent(fingerprint, f -> new ArrayList<>()).add(crash);
    if (crashesByFingerprint.size() > settings.maxFingerprints()) {
      forget(crashesByFingerprint.keySet().iterator().next());
    }
    return true;
  }

  /**
   * Clears a request because it completed or an operator cleared it.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @return whether the request was on the list
   */
  public synchronized boolean onCompleted(String fingerprint) {
    return forget(fingerprint);
  }

  /**
   * Returns whether and where a request may run.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the verdict, never null
   */
  public synchronized PoisonVerdict getVerdict(String fingerprint, long nowNanos) {
    forgetExpired(nowNanos);
    List<Crash> crashes = crashesByFingerprint.get(fingerprint);
    if (crashes == null) {
      return PoisonVerdict.CLEAR;
    }
    if (nowNanos - crashes.get(crashes.size() - 1).timeNanos < settings.settleTime().toNanos()) {
      return PoisonVerdict.UNDECIDED;
    }
    if (isCulprit(fingerprint)) {
      return PoisonVerdict.REFUSED;
    }
    boolean isExplained =
        crashes.stream().allMatch(crash -> isOutage(fingerprint, crash) || hasCulprit(crash));
    return isExplained ? PoisonVerdict.CLEAR : PoisonVerdict.SUSPECTED;
  }

  /**
   * Chooses the replica on which a suspect runs, apart from all other suspects. Processes that know
   * the same suspects and replicas make the same choice.
   *
   * <p>Suspects are assigned in the order of their fingerprints. Each gets the free replica with
   * the highest score by rendezvous hashing (Thaler and Ravishankar, 1998).
   *
   * @param fingerprint the fingerprint of the suspect, not null
   * @param replicas the replicas that may run it, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the replica, or empty if none is left for the suspect or the request is not on the list
   */
  public synchronized Optional<ReplicaId> isolate(
      String fingerprint, List<ReplicaId> replicas, long nowNanos) {
    Set<ReplicaId> freeReplicas = new HashSet<>(replicas);
    for (String suspect : new TreeSet<>(crashesByFingerprint.keySet())) {
      if (suspect.equals(fingerprint)) {
        return chooseReplica(suspect, freeReplicas);
      }
      if (getVerdict(suspect, nowNanos) == PoisonVerdict.SUSPECTED) {
        chooseReplica(suspect, freeReplicas).ifPresent(freeReplicas::remove);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the requests with a verdict other than {@link PoisonVerdict#CLEAR}.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the requests, oldest first, never null
   */
  public synchronized List<PoisonEntry> getEntries(long nowNanos) {
    forgetExpired(nowNanos);
    List<PoisonEntry> entries = new ArrayList<>();
    crashesByFingerprint.forEach(
        (fingerprint, crashes) -> {
          PoisonVerdict verdict = getVerdict(fingerprint, nowNanos);
          if (verdict != PoisonVerdict.CLEAR) {
            long lastCrashNanos = crashes.get(crashes.size() - 1).timeNanos;
            Duration timeToExpiry = settings.expiry().minusNanos(nowNanos - lastCrashNanos);
            entries.add(new PoisonEntry(fingerprint, verdict, crashes.size(), timeToExpiry));
          }
        });
    return entries;
  }

  private static Optional<ReplicaId> chooseReplica(String fingerprint, Set<ReplicaId> replicas) {
    return replicas.stream()
        .max(
            (a, b) ->
                Long.compareUnsigned(
                    RendezvousHash.score(fingerprint, a), RendezvousHash.score(fingerprint, b)));
  }

  /** Tests whether a request was the only suspect in a crash after its first, except in outages. */
  private boolean isCulprit(String fingerprint) {
    List<Crash> crashes = crashesByFingerprint.getOrDefault(fingerprint, List.of());
    return crashes.size() > 1
        && crashes.stream()
            .filter(crash -> !isOutage(fingerprint, crash))
            .skip(1)
            .anyMatch(crash -> isOnlySuspect(fingerprint, crash));
  }

  private boolean isOnlySuspect(String fingerprint, Crash crash) {
    return crash.fingerprints.stream()
        .noneMatch(other -> !other.equals(fingerprint) && hasEarlierCrash(other, crash));
  }

  private boolean hasEarlierCrash(String fingerprint, Crash crash) {
    return crashesByFingerprint.getOrDefault(fingerprint, List.of()).indexOf(crash) > 0;
  }

  private boolean hasCulprit(Crash crash) {
    return crash.fingerprints.stream().anyMatch(this::isCulprit);
  }

  /** Tests whether enough replicas that did not run the request crashed at about the same time. */
  private boolean isOutage(String fingerprint, Crash crash) {
    long windowNanos = settings.outageWindow().toNanos();
    long otherCrashes =
        crashesById.values().stream()
            .filter(other -> Math.abs(other.timeNanos - crash.timeNanos) <= windowNanos)
            .filter(other -> !other.fingerprints.contains(fingerprint))
            .count();
    return otherCrashes >= settings.outageReplicas() - 1;
  }

  /**
   * Tests whether no crash is recorded for any request.
   *
   * @return true if the list is empty
   */
  public synchronized boolean isEmpty() {
    return crashesByFingerprint.isEmpty();
  }

  private boolean forget(String fingerprint) {
    List<Crash> crashes = crashesByFingerprint.remove(fingerprint);
    if (crashes != null) {
      crashes.forEach(crash -> crash.fingerprints.remove(fingerprint));
    }
    return crashes != null;
  }

  private void forgetExpired(long nowNanos) {
    long expiryNanos = settings.expiry().toNanos();
    Iterator<Crash> oldestFirst = crashesById.values().iterator();
    while (oldestFirst.hasNext()) {
      Crash crash = oldestFirst.next();
      if (nowNanos - crash.timeNanos < expiryNanos) {
        return;
      }
      oldestFirst.remove();
      for (String fingerprint : crash.fingerprints) {
        crashesByFingerprint.computeIfPresent(
            fingerprint,
            (f, crashes) -> {
              crashes.remove(crash);
              return crashes.isEmpty() ? null : crashes;
            });
      }
    }
  }
}
