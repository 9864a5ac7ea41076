package io.fireflyshed.coordination.poison;

import io.fireflyshed.coordination.poison.CrashFingerprint.Kind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Counts the crashes of targets during which requests were waiting for the first part of their
 * responses, and refuses requests, or all requests with a part of their prompts in common, once
 * there are too many.
 *
 * <p>Unlike {@link PoisonList}, it does not isolate suspects: it takes the reports of all entries,
 * which may see different copies of the same request. An attempt that succeeds clears its request
 * and the parts of its prompt, since what crashes targets never succeeds. Successes shortly before
 * a report count too, so that nothing that many callers send is refused when several targets crash
 * at once for another reason.
 *
 * <p>Targets that crash at about the same time may have a cause in common, such as the loss of
 * their fabric domain, which says nothing about the requests. Therefore only crashes at different
 * times are evidence, however many targets crash at each of them.
 *
 * <p>A crash interrupts all requests of its target, and their retries may run into the next crash.
 * Therefore the part that was present in most crashes is refused first, and the crashes that it
 * explains no longer count against others.
 *
 * <p>A part that nearly all requests of a model have in common is in each crash, whatever its
 * cause. Therefore a part is blamed after more crashes if it isn't much more common in them than
 * among the requests that ran.
 *
 * <p>What is refused can't succeed, so a refusal that is wrong would last until it expires. A few
 * times a single request may run as a trial; its success clears what was refused. Thread safe.
 *
 * <pre>{@code
 * CrashLedger ledger = new CrashLedger(CrashSettings.ofDefaults());
 * RequestFingerprints bad = new RequestFingerprints(fingerprint, Set.of());
 * long second = 1_000_000_000L;
 * ledger.recordCrash(bad, new CrashId(new InstanceId("t1"), 1), 0, 0);
 * ledger.recordCrash(bad, new CrashId(new InstanceId("t2"), 1), second, second);
 * ledger.recordCrash(bad, new CrashId(new InstanceId("t1"), 2), 2 * second, 2 * second);
 * List<CrashFingerprint> refused = ledger.judge(2 * second).refused(); // fingerprint
 * }</pre>
 */
public final class CrashLedger {

  /** The number of crashes from which successes are reported to the other entries. */
  private static final int SUSPICIOUS_CRASHES = 2;

  /**
   * How many times more common in crashes than among the requests that ran a part must be to be
   * blamed as soon as other fingerprints.
   */
  private static final double MIN_LIFT = 3;

  /** The number of different requests that must have crashed targets before a part is blamed. */
  private static final int MIN_REQUESTS_OF_PART = 2;

  /**
   * The changes that a judgement made.
   *
   * @param refused the fingerprints that are refused from now on, not null
   * @param released the fingerprints that are no longer refused, since refused parts explain their
   *     crashes, not null
   */
  public record Judgement(List<CrashFingerprint> refused, List<CrashFingerprint> released) {}

  /** The readings of the clock when a crash happened, as far as known, and when it was recorded. */
  private record CrashTimes(long crashNanos, long recordNanos) {

    /** Keeps the earliest known time of the crash and the time of the first record. */
    CrashTimes join(CrashTimes later) {
      return new CrashTimes(Math.min(crashNanos, later.crashNanos), recordNanos);
    }
  }

  /** The crashes of one fingerprint. */
  private static final class Suspicion {
    private final Map<CrashId, CrashTimes> crashes = new HashMap<>();

    /** Some of the requests that were waiting; as many as are needed to blame a part. */
    private final Set<CrashFingerprint> requests = new HashSet<>();

    int countUnexplained(Set<CrashId> explained) {
      return (int) crashes.keySet().stream().filter(crash -> !explained.contains(crash)).count();
    }

    /** Counts the unexplained crashes that are too far apart for a common cause. */
    int countIndependent(Set<CrashId> explained, Duration window) {
      List<CrashTimes> unexplained =
          crashes.entrySet().stream()
              .filter(crash -> !explained.contains(crash.getKey()))
              .map(Map.Entry::getValue)
              .toList();
      return OutageUtils.selectIndependent(unexplained, CrashTimes::crashNanos, window).size();
    }

    String describe(long nowNanos) {
      return crashes.entrySet().stream()
          .map(e -> describe(e.getKey(), Duration.ofNanos(nowNanos - e.getValue().crashNanos())))
          .sorted()
          .collect(Collectors.joining(", "));
    }

    private static String describe(CrashId crash, Duration age) {
      return crash.target() + "@" + crash.startMillis() + " " + age.toMillis() + " ms ago";
    }

    /** Tests whether the number of crashes was reached a while ago. */
    boolean isSettled(int crashCount, Duration settleTime, long nowNanos) {
      return crashes.values().stream()
              .filter(times -> nowNanos - times.recordNanos() >= settleTime.toNanos())
              .count()
          >= crashCount;
    }
  }

  /** A map that drops its oldest entry when it exceeds its capacity. */
  private static final class BoundedMap<V> extends LinkedHashMap<CrashFingerprint, V> {
    private static final long serialVersionUID = 1L;
    private final int capacity;

    BoundedMap(int capacity) {
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<CrashFingerprint, V> eldest) {
      return size() > capacity;
    }
  }

  private final CrashSettings settings;
  private final Map<CrashFingerprint, Suspicion> suspicions;
  private final Map<CrashFingerprint, Refusal> refusals;
  private final Map<CrashFingerprint, Long> successes;

  /** The parts that are common among what ran, each with the time when that was last known. */
  private final Map<CrashFingerprint, Long> commonParts;

  /** The numbers of crashes at which it was last announced that a part is common. */
  private final Map<CrashFingerprint, Integer> announcedCrashes;

  private final PartFrequencies frequencies;

  /** What a success cleared, each with the reading of the clock at that time. */
  private final Map<CrashFingerprint, Long> clearances;

  /**
   * Creates an empty ledger.
   *
   * @param settings the settings, not null
   */
  public CrashLedger(CrashSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    suspicions = new BoundedMap<>(settings.maxFingerprints());
    refusals = new BoundedMap<>(settings.maxFingerprints());
    successes = new BoundedMap<>(settings.maxFingerprints());
    clearances = new BoundedMap<>(settings.maxFingerprints());
    commonParts = new BoundedMap<>(settings.maxFingerprints());
    announcedCrashes = new BoundedMap<>(settings.maxFingerprints());
    frequencies = new PartFrequencies(settings.expiry(), settings.maxCountedParts());
  }

  /**
   * Gets the time after which a judgement takes all crashes into account that are known now.
   *
   * @return the time, never null
   */
  public Duration getSettleTime() {
    return settings.settleTime();
  }

  /**
   * Records that a target crashed while a request was waiting for its first part. Recording the
   * same crash again has no effect.
   *
   * @param request the fingerprints of the request, not null
   * @param crash the crash, not null
   * @param crashNanos the reading of the monotonic clock when the target crashed, as far as known,
   *     not after {@code nowNanos}
   * @param nowNanos the current reading of the monotonic clock
   * @return whether there are enough crashes of one fingerprint for a judgement
   */
  public synchronized boolean recordCrash(
      RequestFingerprints request, CrashId crash, long crashNanos, long nowNanos) {
    CrashTimes times = new CrashTimes(Math.min(crashNanos, nowNanos), nowNanos);
    return request.stream()
            .filter(fingerprint -> recordCrash(fingerprint, request.request(), crash, times))
            .count()
        > 0;
  }

  private boolean recordCrash(
      CrashFingerprint fingerprint, CrashFingerprint request, CrashId crash, CrashTimes times) {
    Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, f -> new Suspicion());
    suspicion
        .crashes
        .values()
        .removeIf(t -> !isRecent(t.recordNanos(), settings.expiry(), times.recordNanos()));
    suspicion.crashes.merge(crash, times, CrashTimes::join);
    if (suspicion.requests.size() < MIN_REQUESTS_OF_PART) {
      suspicion.requests.add(request);
    }
    return suspicion.crashes.size() >= settings.maxCrashes();
  }

  /**
   * Refuses what has crashed too many targets, and releases what other parts explain by now.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the changes, never null
   */
  public synchronized Judgement judge(long nowNanos) {
    Set<CrashFingerprint> culprits = new HashSet<>();
    Set<CrashId> explained = new HashSet<>();
    List<CrashFingerprint> next = findCulprits(culprits, explained, nowNanos);
    while (!next.isEmpty()) {
      culprits.addAll(next);
      next.forEach(part -> explained.addAll(getCrashes(part)));
      next = findCulprits(culprits, explained, nowNanos);
    }
    List<CrashFingerprint> refused = new ArrayList<>();
    List<CrashFingerprint> released = new ArrayList<>();
    suspicions.forEach(
        (fingerprint, suspicion) -> {
          if (suspicion.crashes.size() < settings.maxCrashes()) {
            return;
          }
          boolean isUnexplained = suspicion.countUnexplained(explained) >= settings.maxCrashes();
          boolean isCulprit =
              culprits.contains(fingerprint)
                  || fingerprint.kind() == Kind.REQUEST && isEvidenced(suspicion, explained);
          if (isCulprit && !isRefused(fingerprint, nowNanos)) {
            refusals.put(fingerprint, Refusal.begin(nowNanos));
            refused.add(fingerprint);
          } else if (!isCulprit && !isUnexplained && refusals.remove(fingerprint) != null) {
            released.add(fingerprint);
          }
        });
    return new Judgement(refused, released);
  }

  /** Tests whether targets crashed often enough at different times. */
  private boolean isEvidenced(Suspicion suspicion, Set<CrashId> explained) {
    return isEvidenced(suspicion, explained, settings.maxCrashes());
  }

  private boolean isEvidenced(Suspicion suspicion, Set<CrashId> explained, int required) {
    return suspicion.countIndependent(explained, settings.outageWindow()) >= required;
  }

  private int getRequiredCrashes(CrashFingerprint part, long nowNanos) {
    return isKnownCommon(part, nowNanos) || isCommon(part, nowNanos)
        ? settings.maxCommonCrashes()
        : settings.maxCrashes();
  }

  private boolean isKnownCommon(CrashFingerprint part, long nowNanos) {
    return isRecent(commonParts.get(part), settings.expiry(), nowNanos);
  }

  /** Tests whether this process saw that a part is not much more common in crashes. */
  private boolean isCommon(CrashFingerprint part, long nowNanos) {
    double share = frequencies.getShare(part, nowNanos);
    return share > 0 && share * MIN_LIFT > getCrashShare(part);
  }

  /**
   * Gets the share of the crashes of its service in which a part was present, 1 if there is none.
   */
  private double getCrashShare(CrashFingerprint part) {
    Set<CrashId> all = new HashSet<>();
    suspicions.forEach(
        (fingerprint, suspicion) -> {
          boolean isOfService =
              fingerprint.kind() == Kind.PART && fingerprint.getService().equals(part.getService());
          if (isOfService) {
            all.addAll(suspicion.crashes.keySet());
          }
        });
    return all.isEmpty() ? 1 : (double) getCrashes(part).size() / all.size();
  }

  /**
   * Tests whether the other entries should be told that a suspicious part is common among what ran
   * at this entry, and records that they are. True once for each further crash.
   *
   * @param fingerprint the fingerprint, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return whether the caller should tell them
   */
  public synchronized boolean tryAnnounceCommon(CrashFingerprint fingerprint, long nowNanos) {
    int crashes = getCrashes(fingerprint).size();
    boolean isDue =
        fingerprint.kind() == Kind.PART
            && crashes >= SUSPICIOUS_CRASHES
            && crashes > announcedCrashes.getOrDefault(fingerprint, 0)
            && isCommon(fingerprint, nowNanos);
    if (isDue) {
      announcedCrashes.put(fingerprint, crashes);
      commonParts.put(fingerprint, nowNanos);
    }
    return isDue;
  }

  /**
   * Records that a part is common among what ran, as another entry found, and releases it if it was
   * refused after too few crashes for that.
   *
   * @param part the part, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return whether it was released
   */
  public synchronized boolean recordCommon(CrashFingerprint part, long nowNanos) {
    commonParts.put(part, nowNanos);
    Suspicion suspicion = suspicions.get(part);
    boolean isEvidenced =
        suspicion != null && isEvidenced(suspicion, Set.of(), settings.maxCommonCrashes());
    return !isEvidenced && refusals.remove(part) != null;
  }

  /**
   * Tests whether a refusal that another entry decided on should be followed. It should not if that
   * entry didn't know that the part is common among what ran.
   *
   * @param fingerprint the refused fingerprint, not null
   * @param crashes the number of crashes that the other entry knew of
   * @param nowNanos the current reading of the monotonic clock
   * @return whether the refusal holds
   */
  public synchronized boolean isRefusalValid(
      CrashFingerprint fingerprint, int crashes, long nowNanos) {
    int known = Math.max(crashes, getCrashes(fingerprint).size());
    return fingerprint.kind() != Kind.PART || known >= getRequiredCrashes(fingerprint, nowNanos);
  }

  /**
   * Counts the crashes that are known of a fingerprint.
   *
   * @param fingerprint the fingerprint, not null
   * @return the number
   */
  public synchronized int countCrashes(CrashFingerprint fingerprint) {
    return getCrashes(fingerprint).size();
  }

  /**
   * Gets the largest share that a part had of the requests of a model that ran here.
   *
   * @param part the part, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the share, 0 if no success of it is remembered
   */
  public synchronized double getShareOfSuccesses(CrashFingerprint part, long nowNanos) {
    return frequencies.getShare(part, nowNanos);
  }

  private Set<CrashId> getCrashes(CrashFingerprint fingerprint) {
    Suspicion suspicion = suspicions.get(fingerprint);
    return suspicion == null ? Set.of() : suspicion.crashes.keySet();
  }

  /**
   * Finds the parts that were present in most of the unexplained crashes. Several parts that were
   * present in equally many can only be told apart by further crashes.
   */
  private List<CrashFingerprint> findCulprits(
      Set<CrashFingerprint> known, Set<CrashId> explained, long nowNanos) {
    List<CrashFingerprint> best = new ArrayList<>();
    int mostCrashes = settings.maxCrashes();
    for (Map.Entry<CrashFingerprint, Suspicion> entry : suspicions.entrySet()) {
      Suspicion suspicion = entry.getValue();
      if (entry.getKey().kind() != Kind.PART
          || suspicion.crashes.size() < mostCrashes
          || suspicion.requests.size() < MIN_REQUESTS_OF_PART
          || known.contains(entry.getKey())
          || !isRefused(entry.getKey(), nowNanos)
              && !isEvidenced(suspicion, explained, getRequiredCrashes(entry.getKey(), nowNanos))) {
        continue;
      }
      int crashes = suspicion.countUnexplained(explained);
      if (crashes > mostCrashes) {
        best.clear();
        mostCrashes = crashes;
      }
      if (crashes == mostCrashes) {
        best.add(entry.getKey());
      }
    }
    boolean isDecided =
        best.size() == 1
            || mostCrashes >= settings.maxAmbiguousCrashes()
            || best.stream().allMatch(part -> isRefused(part, nowNanos));
    return isDecided && best.stream().allMatch(part -> isSettled(part, nowNanos))
        ? best
        : List.of();
  }

  /** Tests whether the crashes of a part have been known for long enough to refuse it. */
  private boolean isSettled(CrashFingerprint part, long nowNanos) {
    return isRefused(part, nowNanos)
        || suspicions.get(part).isSettled(settings.maxCrashes(), settings.settleTime(), nowNanos);
  }

  /**
   * Records that an attempt got the first part of its response.
   *
   * @param request the fingerprints of the request, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public synchronized void recordSuccess(RequestFingerprints request, long nowNanos) {
    request.stream().forEach(fingerprint -> recordSuccess(fingerprint, nowNanos));
    frequencies.recordSuccess(request, nowNanos);
  }

  /**
   * Records a success of one fingerprint.
   *
   * @param fingerprint a fingerprint of the request, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public synchronized void recordSuccess(CrashFingerprint fingerprint, long nowNanos) {
    successes.remove(fingerprint);
    successes.put(fingerprint, nowNanos);
  }

  /**
   * Clears a suspicious fingerprint if a request with it succeeded recently. Each success is used
   * for a short time only, so that what begins to crash targets is refused soon.
   *
   * @param fingerprint the fingerprint, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return whether the fingerprint was cleared, which the other entries should be told
   */
  public synchronized boolean clearIfSuccessful(CrashFingerprint fingerprint, long nowNanos) {
    boolean isSuspicious =
        refusals.containsKey(fingerprint) || getCrashes(fingerprint).size() >= SUSPICIOUS_CRASHES;
    if (!isSuspicious) {
      return false;
    }
    if (isRecent(successes.remove(fingerprint), settings.successMemory(), nowNanos)) {
      clearances.remove(fingerprint);
      clearances.put(fingerprint, nowNanos);
    }
    if (!isRecent(clearances.get(fingerprint), settings.clearanceTime(), nowNanos)) {
      return false;
    }
    clear(fingerprint);
    return true;
  }

  /**
   * Forgets the crashes and the refusal of a fingerprint.
   *
   * @param fingerprint the fingerprint, not null
   * @return whether the fingerprint was refused
   */
  public synchronized boolean clear(CrashFingerprint fingerprint) {
    suspicions.remove(fingerprint);
    announcedCrashes.remove(fingerprint);
    return refusals.remove(fingerprint) != null;
  }

  /**
   * Records that another entry refuses a fingerprint, or knows of another trial of it.
   *
   * @param fingerprint the fingerprint, not null
   * @param refusal what the other entry knows of the refusal, not null
   */
  public synchronized void refuse(CrashFingerprint fingerprint, Refusal refusal) {
    refusals.merge(fingerprint, refusal, Refusal::join);
  }

  /**
   * Returns what is known of a refusal.
   *
   * @param fingerprint the fingerprint, not null
   * @return the refusal, which may have expired, empty if the fingerprint isn't refused, never null
   */
  public synchronized Optional<Refusal> findRefusal(CrashFingerprint fingerprint) {
    return Optional.ofNullable(refusals.get(fingerprint));
  }

  /**
   * Lists the refused fingerprints of a request.
   *
   * @param request the fingerprints of the request, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the refused ones, never null
   */
  public synchronized Set<CrashFingerprint> findRefused(
      RequestFingerprints request, long nowNanos) {
    return request.stream().filter(f -> isRefused(f, nowNanos)).collect(Collectors.toSet());
  }

  /**
   * Tests whether a request that is refused for some fingerprints may run as a trial.
   *
   * @param fingerprints the fingerprints, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return true if all of them are refused and a trial of each is due
   */
  public synchronized boolean areTrialsDue(Set<CrashFingerprint> fingerprints, long nowNanos) {
    return fingerprints.stream()
        .allMatch(
            f -> isRefused(f, nowNanos) && refusals.get(f).isTrialDue(settings.trials(), nowNanos));
  }

  /**
   * Records that a trial of a refused fingerprint is made, so that the next one isn't due yet.
   *
   * @param fingerprint the fingerprint, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public synchronized void recordTrial(CrashFingerprint fingerprint, long nowNanos) {
    refusals.computeIfPresent(fingerprint, (f, refusal) -> refusal.addTrial(nowNanos));
  }

  /**
   * Gets the time after which requests with a refused fingerprint may be served: that of the next
   * trial, or of the end of the refusal.
   *
   * @param fingerprint the fingerprint, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the time, empty if such requests may be sent to targets, never null
   */
  public synchronized Optional<Duration> getRefusal(CrashFingerprint fingerprint, long nowNanos) {
    Refusal refusal = refusals.get(fingerprint);
    if (refusal == null) {
      return Optional.empty();
    }
    if (!isRefused(fingerprint, nowNanos)) {
      clear(fingerprint);
      return Optional.empty();
    }
    return Optional.of(refusal.getRetryAfter(settings.trials(), settings.expiry(), nowNanos));
  }

  /**
   * Describes the crashes that are known of a fingerprint, for the log.
   *
   * @param fingerprint the fingerprint, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return each crash with the time since it was recorded, never null
   */
  public synchronized String describeCrashes(CrashFingerprint fingerprint, long nowNanos) {
    Suspicion suspicion = suspicions.get(fingerprint);
    return suspicion == null ? "" : suspicion.describe(nowNanos);
  }

  private boolean isRefused(CrashFingerprint fingerprint, long nowNanos) {
    Refusal refusal = refusals.get(fingerprint);
    return refusal != null && isRecent(refusal.sinceNanos(), settings.expiry(), nowNanos);
  }

  /**
   * Counts the refused fingerprints.
   *
   * @return the number, including those whose refusal has expired unnoticed
   */
  public synchronized int countRefusals() {
    return refusals.size();
  }

  private static boolean isRecent(Long timeNanos, Duration maxAge, long nowNanos) {
    return timeNanos != null && nowNanos - timeNanos < maxAge.toNanos();
  }
}
