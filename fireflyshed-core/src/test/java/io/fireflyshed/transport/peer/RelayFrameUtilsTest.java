package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayListener;
import io.fireflyshed.transport.forward.RelayOffer;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.http.HeldBody;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RelayFrameUtils}. */
public class RelayFrameUtilsTest {

  private static final byte[] BODY = RelayFixtures.newBytes(100_000, 5);

  private static PeerProto.Frame copy(PeerProto.Frame frame) {
    try {
      return PeerProto.Frame.parseFrom(frame.toByteArray());
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  private static PeerProto.RelayRequest newMessage() {
    return RelayFrameUtils.toRequest(
            7,
            RelayFixtures.newRequest("r1", BODY, Duration.ofSeconds(5)),
            Duration.ofMillis(4321),
            8)
        .getRelayRequest();
  }

  /** Tests of requests and responses that arrive as they were sent. */
  public static class RoundTrips {

    @Test
    public void requestIsRebuiltWithoutItsKey() {
      RelayedRequest sent = RelayFixtures.newRequest("r1", BODY, Duration.ofSeconds(5));
      PeerProto.Frame frame = copy(RelayFrameUtils.toRequest(7, sent, Duration.ofMillis(4321), 8));
      assertEquals(frame.getRequest(), 7);
      RelayedRequest received =
          RelayFrameUtils.fromRequest(
              frame.getRelayRequest(), HeldBody.of(BODY), 55, RelayListener.none());
      TrafficRequest expected = sent.routed().request();
      TrafficRequest request = received.routed().request();
      assertEquals(request.id(), expected.id());
      assertEquals(request.method(), expected.method());
      assertEquals(request.uri(), expected.uri());
      assertEquals(request.host(), expected.host());
      assertEquals(request.deadline(), expected.deadline());
      assertEquals(request.prompt(), expected.prompt());
      assertEquals(request.lastEventId(), expected.lastEventId());
      assertEquals(request.headers().getAll("accept"), List.of("one", "two"));
      assertEquals(request.headers().size(), 2);
      assertEquals(request.key(), Optional.empty());
      assertFalse(frame.toString().contains("secret"));
      assertEquals(received.routed().body().copyBytes(0, BODY.length).orElseThrow(), BODY);
      assertEquals(received.routed().route(), sent.routed().route());
      assertEquals(received.routed().service(), sent.routed().service());
      assertEquals(received.routed().account(), sent.routed().account());
      assertEquals(received.routed().configurationVersion(), 17);
      assertEquals(received.routed().arrivalNanos(), 55);
      assertEquals(received.routed().timeout(), Duration.ofMillis(4321));
      assertEquals(received.remaining(), Duration.ofMillis(4321));
      assertEquals(received.lastEventId(), sent.lastEventId());
      assertEquals(received.maxAttempts(), 2);
      assertEquals(received.excludedTargets(), sent.excludedTargets());
    }

    @Test
    public void offerNamesServiceAndModel() {
      RelayedRequest request = RelayFixtures.newRequest("r1", BODY, Duration.ofSeconds(5));
      PeerProto.RelayOffer frame = copy(RelayFrameUtils.toOffer(7, request)).getRelayOffer();
      RelayOffer offer = RelayFrameUtils.fromOffer(frame);
      assertEquals(offer, new RelayOffer(RelayFixtures.SERVICE, Optional.of("m")));
      assertEquals(offer.getPool(), request.routed().getPool());
      assertEquals(frame.getBodyBytes(), BODY.length);
    }

    @Test
    public void replyOfAnEarlierVersionNamesNoTarget() {
      PeerProto.RelayReply reply =
          copy(RelayFrameUtils.toAttempt(7, new InstanceId("t1"))).getRelayReply();
      assertTrue(reply.getAccepted());
      assertEquals(RelayFrameUtils.toTarget(reply), Optional.of(new InstanceId("t1")));
      assertEquals(
          RelayFrameUtils.toTarget(copy(RelayFrameUtils.toAcceptance(7)).getRelayReply()),
          Optional.empty());
      assertEquals(
          PeerProto.RelayReply.getDescriptor().findFieldByName("target").getNumber(),
          PeerProto.RelayReply.TARGET_FIELD_NUMBER);
    }

    @Test
    public void headIsRebuilt() {
      TargetAnswer sent = RelayFixtures.newAnswer("r1");
      PeerProto.Frame frame = copy(RelayFrameUtils.toHead(7, 0, sent));
      TargetAnswer received = RelayFrameUtils.fromHead(frame.getRelayHead());
      assertEquals(received.headers().entries().toString(), sent.headers().entries().toString());
      assertEquals(received.status(), sent.status());
      assertEquals(received.requestId(), sent.requestId());
      assertEquals(received.isSigned(), sent.isSigned());
      assertEquals(received.isNotRun(), sent.isNotRun());
      assertEquals(received.load(), sent.load());
      assertEquals(received.requestLimit(), sent.requestLimit());
    }

    @Test
    public void mergedHeadOfAnEarlierVersionIsRefused() {
      for (String value :
          List.of("HTTP/1.1 500 Failed", "a HTTP/1.0 500", "text/plhttp/1.1 500 x")) {
        PeerProto.RelayHead.Builder head =
            RelayFrameUtils.toHead(7, 0, RelayFixtures.newAnswer("r1")).getRelayHead().toBuilder();
        head.addHeaders(PeerProto.RelayHeader.newBuilder().setName("date").setValue(value));
        assertThrows(IllegalArgumentException.class, () -> RelayFrameUtils.fromHead(head.build()));
      }
    }

    @Test
    public void headOfASoundProxyIsTaken() {
      PeerProto.RelayHead.Builder head =
          RelayFrameUtils.toHead(7, 0, RelayFixtures.newAnswer("r1")).getRelayHead().toBuilder();
      head.addHeaders(
          PeerProto.RelayHeader.newBuilder().setName("via").setValue("HTTP/1.1 10.0.0.1"));
      assertTrue(RelayFrameUtils.fromHead(head.build()).headers().contains("via"));
    }

    @Test
    public void bodiesAreSplitIntoFramesBelowTheLimit() {
      byte[] bytes = RelayFixtures.newBytes(3 * RelayFrameUtils.MAX_PART_BYTES + 1, 2);
      ByteArrayOutputStream joined = new ByteArrayOutputStream();
      List<PeerProto.Frame> frames = RelayFrameUtils.toChunks(7, 5, bytes);
      for (int i = 0; i < frames.size(); i++) {
        assertTrue(frames.get(i).getSerializedSize() < PeerFrameDecoder.MAX_FRAME_BYTES);
        assertEquals(frames.get(i).getRelayChunk().getSequence(), 5 + i);
        joined.writeBytes(frames.get(i).getRelayChunk().getBytes().toByteArray());
      }
      assertEquals(frames.size(), 4);
      assertEquals(joined.toByteArray(), bytes);
    }

    @Test
    public void requestBodiesAreSplitIntoFramesBelowTheLimit() {
      byte[] bytes = RelayFixtures.newBytes(3 * RelayFrameUtils.MAX_PART_BYTES + 1, 2);
      HeldBody body = HeldBody.of(bytes);
      ByteArrayOutputStream joined = new ByteArrayOutputStream();
      for (int i = 0; i < 4; i++) {
        PeerProto.Frame frame = RelayFrameUtils.toBodyPart(7, body, joined.size()).orElseThrow();
        assertTrue(frame.getSerializedSize() < PeerFrameDecoder.MAX_FRAME_BYTES);
        joined.writeBytes(frame.getRelayBody().getBytes().toByteArray());
      }
      assertEquals(joined.toByteArray(), bytes);
      body.close();
      assertEquals(RelayFrameUtils.toBodyPart(7, body, 0), Optional.empty());
    }

    @Test(dataProvider = "outcomes")
    public void failureIsRebuilt(Outcome outcome) {
      ForwardException sent =
          new ForwardException(
              "place", "entry", "no target", outcome, Duration.ofMillis(300), true);
      PeerProto.Frame frame = copy(RelayFrameUtils.toFailure(7, sent));
      ForwardException received = RelayFrameUtils.fromFailure(frame.getRelayFailure());
      assertEquals(received.getMessage(), sent.getMessage());
      assertEquals(received.getStep(), "place");
      assertEquals(received.getPeer(), "entry");
      assertEquals(received.getOutcome(), outcome);
      assertEquals(received.getRetryAfter(), Duration.ofMillis(300));
      assertTrue(received.isTimeout());
    }

    /** Provides all outcomes. */
    @DataProvider
    public Object[][] outcomes() {
      return new Object[][] {{Outcome.NOT_RUN}, {Outcome.RAN}, {Outcome.UNKNOWN}};
    }
  }

  /** Tests of frames that can't be used. */
  public static class InvalidFrames {

    /** Provides messages with one invalid field each. */
    @DataProvider
    public Object[][] messages() {
      return new Object[][] {
        {"remaining time", newMessage().toBuilder().setRemainingMs(-1).build()},
        {"far deadline", newMessage().toBuilder().setDeadlineMs(Long.MAX_VALUE).build()},
        {"attempts", newMessage().toBuilder().setMaxAttempts(0).build()},
        {"service", newMessage().toBuilder().setService("").build()},
        {"method", newMessage().toBuilder().setMethod("A B").build()},
        {"target", newMessage().toBuilder().addExcludedTargets("a/b").build()},
        {"no route", newMessage().toBuilder().clearRoute().build()},
        {
          "kind",
          newMessage().toBuilder()
              .setRoute(newMessage().getRoute().toBuilder().setKindValue(9))
              .build()
        },
        {
          "weight",
          newMessage().toBuilder()
              .setRoute(
                  newMessage().getRoute().toBuilder()
                      .addServices(PeerProto.RelayService.newBuilder().setName("s").setWeight(-1)))
              .build()
        },
        {
          "header",
          newMessage().toBuilder()
              .addHeaders(PeerProto.RelayHeader.newBuilder().setName("a").setValue("b\r\nc: d"))
              .build()
        },
      };
    }

    @Test(dataProvider = "messages")
    public void invalidRequestIsRejected(String name, PeerProto.RelayRequest message) {
      expectThrows(
          IllegalArgumentException.class,
          () -> RelayFrameUtils.fromRequest(message, HeldBody.of(BODY), 0, RelayListener.none()));
    }

    @Test
    public void unknownOutcomeCountsAsUnknown() {
      PeerProto.RelayFailure failure =
          PeerProto.RelayFailure.newBuilder().setOutcomeValue(99).build();
      assertEquals(RelayFrameUtils.fromFailure(failure).getOutcome(), Outcome.UNKNOWN);
    }

    @Test
    public void damagedRequestsAreRejectedOrReadCompletely() {
      byte[] bytes = newMessage().toByteArray();
      for (int seed = 0; seed < 20_000; seed++) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        byte[] damaged = bytes.clone();
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
          damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        try {
          PeerProto.RelayRequest message = PeerProto.RelayRequest.parseFrom(damaged);
          RelayedRequest request =
              RelayFrameUtils.fromRequest(message, HeldBody.of(BODY), 0, RelayListener.none());
          assertFalse(request.remaining().isNegative(), "seed " + seed);
        } catch (IllegalArgumentException | IOException e) {
          assertTrue(e.getMessage() != null, "seed " + seed);
        }
      }
    }
  }
}
