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
   * Asks a process for a part of its share of a limit, and tells what is in use of earlier grants.
   *
   * @param sender the process that asks
   * @param receiver the process that is asked; others ignore the notice
   * @param key the limit
   * @param sequence a number that rises with each notice of the sender to this receiver
   * @param wanted how much the sender could use, in units of the limit
   * @param grantNumber the highest grant of the receiver that the sender has seen, 0 if none
   * @param held how much of earlier grants of the receiver is in use, in units of the limit
   */
  record ShareDemand(
      PeerId sender,
      PeerId receiver,
      ShareKey key,
      long sequence,
      double wanted,
      long grantNumber,
      double held)
      implements PeerNotice {}

  /**
   * Lends a part of a share; it replaces all grants of the sender with lower numbers.
   *
   * @param sender the process that lends
   * @param receiver the process that may use the amount; others ignore the notice
   * @param key the limit
   * @param number a number that rises with each grant of the sender to this receiver
   * @param amount the amount in units of the limit
   * @param demandSequence the sequence of the notice that is answered
   */
  record ShareGrant(
      PeerId sender, PeerId receiver, ShareKey key, long number, double amount, long demandSequence)
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
