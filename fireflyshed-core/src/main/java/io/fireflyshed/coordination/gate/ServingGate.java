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
 * <p>A replica is open only while there is evidence from every member, no older than a bound, that
 * the member runs this replica at this generation, and while no member leaves. Evidence ages from
 * the moment its probe was sent. A failed probe, a broken connection or a peer's notice closes the
 * replica at once; after it, only the answer to a probe that was sent later counts. Not thread
 * safe; belongs to the control thread.
 */
public final class ServingGate {

  private record Evidence(MemberHealth health, long sentNanos) {}

  private final long maxAgeNanos;
  private final DrainTracker drain;
  private final Map<InstanceId, Evidence> evidence = new HashMap<>();
  private final Map<InstanceId, Long> failures = new HashMap<>();

  /**
   * Creates a gate without evidence; all replicas are closed.
   *
   * @param maxAge the age at which evidence becomes invalid, positive, not null
   * @param drain tells which instances leave; this gate passes it the answers to probes, not null
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
   * Takes in the answer to a probe. An answer that is out of order, or to a probe that was sent
   * before the last failure was seen, changes nothing.
   *
   * @param health what the member said, not null
   * @param sentNanos the reading of the monotonic clock before the probe was sent
   * @return true if this is the first sign that the member leaves
   */
  public boolean onHealth(MemberHealth health, long sentNanos) {
    Evidence last = evidence.get(health.instance());
    if (last != null && last.sentNanos() - sentNanos > 0) {
      return false;
    }
    Long failed = failures.get(health.instance());
    if (failed != null && sentNanos - failed < 0) {
      return false;
    }
    failures.remove(health.instance());
    evidence.put(health.instance(), new Evidence(health, sentNanos));
    return drain.onHealth(health);
  }

  /**
   * Takes in that a probe failed, that a connection to a member broke, or that a peer saw so.
   *
   * @param instance the member, not null
   * @param nowNanos the reading of the monotonic clock
   * @return true if there was evidence that the member ran
   */
  public boolean onFailure(InstanceId instance, long nowNanos) {
    failures.put(instance, nowNanos);
    return evidence.remove(instance) != null;
  }

  /**
   * Forgets the instances that are in no replica.
   *
   * @param members the instances to keep, not null
   */
  public void retain(Set<InstanceId> members) {
    evidence.keySet().retainAll(members);
    failures.keySet().retainAll(members);
  }

  /**
   * Gets the permission of a replica to serve.
   *
   * @param assignment the replica and its members, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the permission with its expiry, or empty if the replica is closed
   */
  public Optional<OpenReplica> getOpen(Assignment assignment, long nowNanos) {
    long expiry = Long.MAX_VALUE;
    boolean isFirst = true;
    for (InstanceRecord member : assignment.members()) {
      Evidence last = evidence.get(member.id());
      if (last == null || !isWhole(assignment, last.health()) || drain.isLeaving(member)) {
        return Optional.empty();
      }
      long until = last.sentNanos() + maxAgeNanos;
      if (until - nowNanos <= 0) {
        return Optional.empty();
      }
      expiry = isFirst || until - expiry < 0 ? until : expiry;
      isFirst = false;
    }
    return Optional.of(new OpenReplica(assignment, expiry));
  }

  private static boolean isWhole(Assignment assignment, MemberHealth health) {
    return health.isReady()
        && health.generation() == assignment.generation()
        && health.replica().filter(assignment.id()::equals).isPresent();
  }
}
