package io.fireflyshed.state.peer;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.Optional;

/**
 * A message from an entry process to its peers. A notice may be lost or delivered more than once.
 */
public sealed interface PeerNotice {

  /**
   * Reports that a member failed a probe or that a connection to it broke, so that its replica must
   * be closed.
   *
   * @param instance the member
   * @param boot the incarnation that failed, or empty if unknown
   */
  record MemberFailed(InstanceId instance, Optional<BootId> boot) implements PeerNotice {}

  /**
   * Reports that an instance is leaving.
   *
   * @param instance the instance
   * @param boot the incarnation that is leaving, or empty if unknown
   */
  record InstanceLeaving(InstanceId instance, Optional<BootId> boot) implements PeerNotice {}

  /**
   * Asks a process to lend a part of its share of a limit, and reports how much of its earlier
   * grants is in use.
   *
   * @param sender the process that asks, which is the borrower
   * @param receiver the process that is asked, which is the lender; other processes ignore the
   *     notice
   * @param key the limit
   * @param sequence a number that increases with each demand of the sender to this receiver
   * @param wanted the amount that the sender could use, in units of the limit
   * @param grantNumber the number of the latest grant of the receiver that the sender has received,
   *     0 if none
   * @param held the amount of earlier grants of the receiver that is in use, in units of the limit
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
   * Lends a part of a share. The grant replaces all grants of the sender with lower numbers.
   *
   * @param sender the process that lends
   * @param receiver the process that borrows the amount; other processes ignore the notice
   * @param key the limit
   * @param number a number that increases with each grant of the sender to this receiver
   * @param amount the lent amount, in units of the limit
   * @param demandSequence the sequence number of the demand that the grant answers
   */
  record ShareGrant(
      PeerId sender, PeerId receiver, ShareKey key, long number, double amount, long demandSequence)
      implements PeerNotice {}

  /**
   * Reports that a request was running on a replica when the replica crashed.
   *
   * @param fingerprint the fingerprint of the request
   * @param replica the replica that crashed
   * @param generation the generation of the replica
   */
  record PoisonSuspected(String fingerprint, ReplicaId replica, long generation)
      implements PeerNotice {}

  /**
   * Reports that an operator cleared the suspicion against a request.
   *
   * @param fingerprint the fingerprint of the request
   */
  record PoisonCleared(String fingerprint) implements PeerNotice {}

  /**
   * Reports which version of the configuration a process has in force.
   *
   * @param sender the process
   * @param version the version
   */
  record ConfigurationInForce(PeerId sender, long version) implements PeerNotice {}
}
