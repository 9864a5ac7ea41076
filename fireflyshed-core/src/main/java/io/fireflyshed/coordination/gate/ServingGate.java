package io.fireflyshed.coordination.gate;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.OpenReplica;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which replicas may serve.
 *
 * <p>A replica is open only while there is evidence from every member, no older than a bound, that
 * the member runs this replica at this generation. Evidence ages from the moment its probe was
 * sent. A failed probe closes the replica at once, and so does a leaving mark, which stays until
 * the boot id of the instance changes. Not thread safe; belongs to the control thread.
 */
public final class ServingGate {

  private record Evidence(MemberHealth health, long sentNanos) {}

  private final long maxAgeNanos;
  private final Map<InstanceId, Evidence> evidence = new HashMap<>();
  private final Map<InstanceId, BootId> leavingBoots = new HashMap<>();
  private final Set<InstanceId> leavingUnknownBoot = new HashSet<>();

  /**
   * Creates a gate without evidence; all replicas are closed.
   *
   * @param maxAge the age at which evidence becomes invalid, positive, not null
   */
  public ServingGate(Duration maxAge) {
    Objects.requireNonNull(maxAge, "maxAge");
    if (maxAge.isZero() || maxAge.isNegative()) {
      throw new IllegalArgumentException("maxAge must be positive: " + maxAge);
    }
    maxAgeNanos = maxAge.toNanos();
  }

  /**
   * Takes in the answer to a probe.
   *
   * @param health what the member said, not null
   * @param sentNanos the reading of the monotonic clock before the probe was sent
   */
  public void onHealth(MemberHealth health, long sentNanos) {
    Evidence last = evidence.get(health.instance());
    if (last != null && last.sentNanos() - sentNanos > 0) {
      return;
    }
    evidence.put(health.instance(), new Evidence(health, sentNanos));
    if (leavingUnknownBoot.remove(health.instance())) {
      leavingBoots.put(health.instance(), health.boot());
    }
    if (health.isLeaving()) {
      leavingBoots.put(health.instance(), health.boot());
    }
  }

  /**
   * Takes in that a probe failed or that a connection to a member broke.
   *
   * @param instance the member, not null
   */
  public void onFailure(InstanceId instance) {
    evidence.remove(instance);
  }

  /**
   * Takes in that an instance leaves. The mark stays until the boot id of the instance changes.
   *
   * @param instance the instance, not null
   */
  public void onLeaving(InstanceId instance) {
    Evidence last = evidence.get(instance);
    if (last != null) {
      leavingBoots.put(instance, last.health().boot());
    } else if (!leavingBoots.containsKey(instance)) {
      leavingUnknownBoot.add(instance);
    }
  }

  /**
   * Tests whether an instance is marked as leaving.
   *
   * @param instance the instance, not null
   * @return true if the mark is set and the boot id has not changed since
   */
  public boolean isLeaving(InstanceId instance) {
    if (leavingUnknownBoot.contains(instance)) {
      return true;
    }
    BootId marked = leavingBoots.get(instance);
    if (marked == null) {
      return false;
    }
    Evidence last = evidence.get(instance);
    return last == null || last.health().boot().equals(marked);
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
      if (last == null || !isWhole(assignment, last.health()) || isLeaving(member.id())) {
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
