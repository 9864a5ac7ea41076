package io.fireflyshed.state.peer;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.Optional;

/** A message that an entry process sends to all its peers. Notices may be lost or come twice. */
public sealed interface PeerNotice {

  /**
   * Tells that a member failed a probe or broke a connection, so that its replica must close.
   *
   * @param instance the member
   * @param boot the run that failed, if known
   */
  record MemberFailed(InstanceId instance, Optional<BootId> boot) implements PeerNotice {}

  /**
   * Tells that an instance leaves.
   *
   * @param instance the instance
   * @param boot the run that leaves, if known
   */
  record InstanceLeaving(InstanceId instance, Optional<BootId> boot) implements PeerNotice {}

  /**
   * Tells how much of a client account's limit a process needs.
   *
   * @param sender the process
   * @param account the client account
   * @param demandPerSecond the demand in units of the limit for each second
   * @param sequence a number that rises with each report of the sender
   */
  record ShareDemand(PeerId sender, String account, double demandPerSecond, long sequence)
      implements PeerNotice {}

  /**
   * Tells that a request was running when its replica crashed.
   *
   * @param fingerprint the fingerprint of the request
   * @param replica the replica that crashed
   * @param generation the generation of the replica
   */
  record PoisonSuspected(String fingerprint, ReplicaId replica, long generation)
      implements PeerNotice {}

  /**
   * Tells that an operator cleared a fingerprint.
   *
   * @param fingerprint the fingerprint of the request
   */
  record PoisonCleared(String fingerprint) implements PeerNotice {}

  /**
   * Tells which version of the configuration a process has in force.
   *
   * @param sender the process
   * @param version the version
   */
  record ConfigurationInForce(PeerId sender, long version) implements PeerNotice {}
}
