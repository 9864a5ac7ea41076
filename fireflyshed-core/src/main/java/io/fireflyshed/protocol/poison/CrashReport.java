package io.fireflyshed.protocol.poison;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashId;
import java.util.Map;
import java.util.Set;

/**
 * Tells other entries which requests waited for a target that crashed, and what succeeded.
 *
 * @param crashes the crashes, copied, not null
 * @param cleared the suspicious fingerprints of requests that succeeded, copied, not null
 * @param common the suspicious parts that are as common among what ran as in crashes, copied, not
 *     null
 */
public record CrashReport(
    Map<CrashId, ReportedCrash> crashes,
    Set<CrashFingerprint> cleared,
    Set<CrashFingerprint> common) {

  /** Copies the collections. */
  public CrashReport {
    crashes = Map.copyOf(crashes);
    cleared = Set.copyOf(cleared);
    common = Set.copyOf(common);
  }
}
