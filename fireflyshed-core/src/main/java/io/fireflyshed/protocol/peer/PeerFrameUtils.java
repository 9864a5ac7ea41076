package io.fireflyshed.protocol.peer;

import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.coordination.membership.MemberRecord;
import io.fireflyshed.coordination.membership.MemberState;
import io.fireflyshed.coordination.membership.MembershipMessage;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Converts the messages between entry processes to frames and back.
 *
 * <p>Methods that read a frame or the body of a frame throw an {@link IllegalArgumentException} if
 * a field is invalid.
 */
public final class PeerFrameUtils {

  private PeerFrameUtils() {}

  /**
   * Converts a membership message to a frame.
   *
   * @param message the message, not null
   * @return the frame, never null
   */
  public static PeerProto.Frame toFrame(MembershipMessage message) {
    PeerProto.Frame.Builder frame = PeerProto.Frame.newBuilder();
    if (message instanceof MembershipMessage.Ping ping) {
      PeerProto.Ping.Builder body = PeerProto.Ping.newBuilder().setSequence(ping.sequence());
      ping.updates().forEach(update -> body.addUpdates(toMember(update)));
      frame.setPing(body);
    } else if (message instanceof MembershipMessage.Ack ack) {
      PeerProto.Ack.Builder body =
          PeerProto.Ack.newBuilder().setSequence(ack.sequence()).setSubject(ack.subject().value());
      ack.updates().forEach(update -> body.addUpdates(toMember(update)));
      frame.setAck(body);
    } else if (message instanceof MembershipMessage.PingRequest request) {
      PeerProto.PingRequest.Builder body =
          PeerProto.PingRequest.newBuilder()
              .setSequence(request.sequence())
              .setTarget(request.target().value());
      request.updates().forEach(update -> body.addUpdates(toMember(update)));
      frame.setPingRequest(body);
    } else if (message instanceof MembershipMessage.SyncRequest request) {
      frame.setSyncRequest(PeerProto.SyncRequest.newBuilder().setDigest(request.digest()));
    } else if (message instanceof MembershipMessage.SyncReply reply) {
      PeerProto.SyncReply.Builder body = PeerProto.SyncReply.newBuilder();
      reply.members().forEach(member -> body.addMembers(toMember(member)));
      frame.setSyncReply(body);
    }
    return frame.build();
  }

  /**
   * Converts a frame to a membership message.
   *
   * @param frame the frame, not null
   * @return the message, or empty if the frame contains a body of another kind, never null
   */
  public static Optional<MembershipMessage> toMembership(PeerProto.Frame frame) {
    return switch (frame.getBodyCase()) {
      case PING ->
          Optional.of(
              new MembershipMessage.Ping(
                  frame.getPing().getSequence(), toRecords(frame.getPing().getUpdatesList())));
      case ACK ->
          Optional.of(
              new MembershipMessage.Ack(
                  frame.getAck().getSequence(),
                  new PeerId(frame.getAck().getSubject()),
                  toRecords(frame.getAck().getUpdatesList())));
      case PING_REQUEST ->
          Optional.of(
              new MembershipMessage.PingRequest(
                  frame.getPingRequest().getSequence(),
                  new PeerId(frame.getPingRequest().getTarget()),
                  toRecords(frame.getPingRequest().getUpdatesList())));
      case SYNC_REQUEST ->
          Optional.of(new MembershipMessage.SyncRequest(frame.getSyncRequest().getDigest()));
      case SYNC_REPLY ->
          Optional.of(
              new MembershipMessage.SyncReply(toRecords(frame.getSyncReply().getMembersList())));
      default -> Optional.empty();
    };
  }

  /**
   * Converts the answer to a configuration question to its message.
   *
   * @param answer the answer, not null
   * @param knownVersion the version that the asking peer has in force; the record is omitted if it
   *     has this version
   * @return the message, never null
   */
  public static PeerProto.ConfigurationAnswer toAnswer(PeerAnswer answer, long knownVersion) {
    PeerProto.ConfigurationAnswer.Builder body = PeerProto.ConfigurationAnswer.newBuilder();
    long version = answer.inForce().map(ConfigurationRecord::version).orElse(0L);
    if (version == knownVersion) {
      body.setSame(true);
    } else {
      answer
          .inForce()
          .ifPresent(
              inForce ->
                  body.setVersion(inForce.version())
                      .setAttempt(inForce.attempt())
                      .setAuthor(inForce.author())
                      .setDigest(inForce.digest())
                      .setSummary(inForce.summary()));
    }
    answer.evidenceAgeNanos().ifPresent(age -> body.setHasEvidence(true).setEvidenceAgeNanos(age));
    return body.build();
  }

  /**
   * Converts the message of a configuration answer to the answer.
   *
   * @param body the message, not null
   * @param known the version that was in force in this process when the question was sent, not null
   * @return the answer, never null
   */
  public static PeerAnswer fromAnswer(
      PeerProto.ConfigurationAnswer body, Optional<ConfigurationRecord> known) {
    Optional<ConfigurationRecord> received =
        body.getVersion() == 0
            ? Optional.empty()
            : Optional.of(
                new ConfigurationRecord(
                    body.getVersion(),
                    body.getAttempt(),
                    body.getAuthor(),
                    body.getDigest(),
                    body.getSummary()));
    OptionalLong age =
        body.getHasEvidence() ? OptionalLong.of(body.getEvidenceAgeNanos()) : OptionalLong.empty();
    return new PeerAnswer(body.getSame() ? known : received, age);
  }

  private static PeerProto.Member toMember(MemberRecord record) {
    return PeerProto.Member.newBuilder()
        .setId(record.id().value())
        .setAddress(record.address())
        .setZone(record.zone().value())
        .setIncarnation(record.incarnation())
        .setStateValue(record.state().ordinal())
        .build();
  }

  private static List<MemberRecord> toRecords(List<PeerProto.Member> members) {
    return members.stream().map(PeerFrameUtils::toRecord).toList();
  }

  private static MemberRecord toRecord(PeerProto.Member member) {
    int state = member.getStateValue();
    if (state < 0 || state >= MemberState.values().length) {
      throw new IllegalArgumentException("unknown member state " + state);
    }
    return new MemberRecord(
        new PeerId(member.getId()),
        member.getAddress(),
        new AvailabilityZone(member.getZone()),
        member.getIncarnation(),
        MemberState.values()[state]);
  }
}
