package io.fireflyshed.protocol.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.peer.ShareKey;
import io.fireflyshed.state.peer.ShareKind;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.Optional;

/** Converts notices to their messages and back. */
public final class PeerNoticeUtils {

  private PeerNoticeUtils() {}

  /**
   * Converts a notice to its message.
   *
   * @param notice the notice, not null
   * @return the message without origin, sequence and relay flag, never null
   */
  public static PeerProto.Notice toMessage(PeerNotice notice) {
    PeerProto.Notice.Builder body = PeerProto.Notice.newBuilder();
    if (notice instanceof PeerNotice.MemberFailed failed) {
      body.setMemberFailed(
          PeerProto.MemberFailed.newBuilder()
              .setInstance(failed.instance().value())
              .setBoot(failed.boot().map(BootId::value).orElse("")));
    } else if (notice instanceof PeerNotice.InstanceLeaving leaving) {
      body.setInstanceLeaving(
          PeerProto.InstanceLeaving.newBuilder()
              .setInstance(leaving.instance().value())
              .setBoot(leaving.boot().map(BootId::value).orElse("")));
    } else if (notice instanceof PeerNotice.ShareDemand demand) {
      body.setShareDemand(toMessage(demand));
    } else if (notice instanceof PeerNotice.ShareGrant grant) {
      body.setShareGrant(toMessage(grant));
    } else if (notice instanceof PeerNotice.PoisonSuspected suspected) {
      body.setPoisonSuspected(
          PeerProto.PoisonSuspected.newBuilder()
              .setFingerprint(suspected.fingerprint())
              .setReplica(suspected.replica().value())
              .setGeneration(suspected.generation()));
    } else if (notice instanceof PeerNotice.PoisonCleared cleared) {
      body.setPoisonCleared(
          PeerProto.PoisonCleared.newBuilder().setFingerprint(cleared.fingerprint()));
    } else if (notice instanceof PeerNotice.ConfigurationInForce inForce) {
      body.setConfigurationInForce(
          PeerProto.ConfigurationInForce.newBuilder()
              .setSender(inForce.sender().value())
              .setVersion(inForce.version()));
    } else {
      throw new IllegalArgumentException(
          "no message defined for " + notice.getClass().getSimpleName());
    }
    return body.build();
  }

  /**
   * Converts a message to its notice.
   *
   * @param body the message, not null
   * @return the notice, never null
   * @throws IllegalArgumentException if the kind is unknown or a field is invalid
   */
  public static PeerNotice fromMessage(PeerProto.Notice body) {
    return switch (body.getKindCase()) {
      case MEMBER_FAILED ->
          new PeerNotice.MemberFailed(
              new InstanceId(body.getMemberFailed().getInstance()),
              toBoot(body.getMemberFailed().getBoot()));
      case INSTANCE_LEAVING ->
          new PeerNotice.InstanceLeaving(
              new InstanceId(body.getInstanceLeaving().getInstance()),
              toBoot(body.getInstanceLeaving().getBoot()));
      case SHARE_DEMAND -> fromMessage(body.getShareDemand());
      case SHARE_GRANT -> fromMessage(body.getShareGrant());
      case POISON_SUSPECTED ->
          new PeerNotice.PoisonSuspected(
              body.getPoisonSuspected().getFingerprint(),
              new ReplicaId(body.getPoisonSuspected().getReplica()),
              body.getPoisonSuspected().getGeneration());
      case POISON_CLEARED -> new PeerNotice.PoisonCleared(body.getPoisonCleared().getFingerprint());
      case CONFIGURATION_IN_FORCE ->
          new PeerNotice.ConfigurationInForce(
              new PeerId(body.getConfigurationInForce().getSender()),
              body.getConfigurationInForce().getVersion());
      default -> throw new IllegalArgumentException("unknown notice kind");
    };
  }

  private static PeerProto.ShareDemand.Builder toMessage(PeerNotice.ShareDemand demand) {
    return PeerProto.ShareDemand.newBuilder()
        .setSender(demand.sender().value())
        .setReceiver(demand.receiver().value())
        .setAccount(demand.key().account())
        .setUnit(demand.key().kind().name())
        .setSequence(demand.sequence())
        .setWanted(demand.wanted())
        .setGrantNumber(demand.grantNumber())
        .setHeld(demand.held());
  }

  private static PeerProto.ShareGrant.Builder toMessage(PeerNotice.ShareGrant grant) {
    return PeerProto.ShareGrant.newBuilder()
        .setSender(grant.sender().value())
        .setReceiver(grant.receiver().value())
        .setAccount(grant.key().account())
        .setUnit(grant.key().kind().name())
        .setNumber(grant.number())
        .setAmount(grant.amount())
        .setDemandSequence(grant.demandSequence());
  }

  private static PeerNotice fromMessage(PeerProto.ShareDemand body) {
    return new PeerNotice.ShareDemand(
        new PeerId(body.getSender()),
        new PeerId(body.getReceiver()),
        new ShareKey(body.getAccount(), ShareKind.valueOf(body.getUnit())),
        body.getSequence(),
        body.getWanted(),
        body.getGrantNumber(),
        body.getHeld());
  }

  private static PeerNotice fromMessage(PeerProto.ShareGrant body) {
    return new PeerNotice.ShareGrant(
        new PeerId(body.getSender()),
        new PeerId(body.getReceiver()),
        new ShareKey(body.getAccount(), ShareKind.valueOf(body.getUnit())),
        body.getNumber(),
        body.getAmount(),
        body.getDemandSequence());
  }

  private static Optional<BootId> toBoot(String text) {
    return text.isEmpty() ? Optional.empty() : Optional.of(new BootId(text));
  }
}
