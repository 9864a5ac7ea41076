package io.fireflyshed.coordination.gate;

import io.fireflyshed.coordination.drain.DrainTracker;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.OpenReplica;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which replicas may serve.
 *
 * <p>A replica is open only while there is evidence from every member, younger than a maximum age,
 * that the member is ready to serve this replica at this generation, and while no member is
 * leaving. The age of evidence counts from the time at which its probe was sent. A failed probe, a
 * broken connection or a notice from a peer closes the replica at once; from then on, only the
 * answer to a probe that was sent later counts as evidence. Not thread safe; must be used on the
 * control thread.
 */
public final class ServingGate {

  private record Evidence(MemberHealth health, long sentNanos) {}

  private final long maxAgeNanos;
  private final DrainTracker drain;
  private final Map<InstanceId, Evidence> evidence = new HashMap<>();
  private final Map<InstanceId, Long> lastFailureNanos = new HashMap<>();

  /**
   * Creates a gate without evidence, so that all replicas are closed.
   *
   * @param maxAge the age at which evidence becomes invalid, positive, not null
   * @param drain the instances that are leaving; the gate passes the answers to probes on to it,
   *     not null
   */
  public ServingGate(Duration maxAge, DrainTracker drain) {
    Objects.requireNonNull(maxAge, "maxAge");
    if (maxAge.isZero() || maxAge.isNegative()) {
      throw new IllegalArgumentException("maxAge must be positive: " + maxAge);
    }
    maxAgeNanos = maxAge.toNanos();
    this.drain = Objects.requireNonNull(drain, "drain");
  }

  /**
   * Records the answer to a probe. The answer is ignored if the answer to a later probe was already
   * recorded, or if the probe was sent before the last failure.
   *
   * @param health the answer of the member, not null
   * @param sentNanos the monotonic clock reading, in nanoseconds, taken before the probe was sent
   * @return true if this is the first signal that the member is leaving
   */
  public boolean onHealth(MemberHealth health, long sentNanos) {
    Evidence last = evidence.get(health.instance());
    if (last != null && last.sentNanos() - sentNanos > 0) {
      return false;
    }
    Long failed = lastFailureNanos.get(health.instance());
    if (failed != null && sentNanos - failed < 0) {
      return false;
    }
    lastFailureNanos.remove(health.instance());
    evidence.put(health.instance(), new Evidence(health, sentNanos));
    return drain.onHealth(health);
  }

  /**
   * Records that a probe failed or a connection to a member broke, as seen by this process or a
   * peer.
   *
   * @param instance the member, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return true if there was evidence from the member
   */
  public boolean onFailure(InstanceId instance, long nowNanos) {
    lastFailureNanos.put(instance, nowNanos);
    return evidence.remove(instance) != null;
  }

  /**
   * Removes the state of all instances other than the given ones.
   *
   * @param members the instances to keep, not null
   */
  public void retain(Set<InstanceId> members) {
    evidence.keySet().retainAll(members);
    lastFailureNanos.keySet().retainAll(members);
  }

  /**
   * Returns the permission of a replica to serve.
   *
   * @param assignment the replica and its members, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return the permission with its expiry, empty if the replica is closed
   */
  public Optional<OpenReplica> getOpen(Assignment assignment, long nowNanos) {
    long expiry = Long.MAX_VALUE;
    boolean isFirst = true;
    for (InstanceRecord member : assignment.members()) {
      Evidence last = evidence.get(member.id());
      if (last == null || !isReadyFor(assignment, last.health()) || drain.isLeaving(member)) {
        return Optional.empty();
      }
      long memberExpiry = last.sentNanos() + maxAgeNanos;
      if (memberExpiry - nowNanos <= 0) {
        return Optional.empty();
      }
      expiry = isFirst || memberExpiry - expiry < 0 ? memberExpiry : expiry;
      isFirst = false;
    }
    return Optional.of(new OpenReplica(assignment, expiry));
  }

  private static boolean isReadyFor(Assignment assignment, MemberHealth health) {
    return health.isReady()
        && health.generation() == assignment.generation()
        && health.replica().filter(assignment.id()::equals).isPresent();
  }
}
