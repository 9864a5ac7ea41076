package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.peer.generated.PeerProto.Frame.BodyCase;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;

/** Tests {@link EntryRelay} over the loopback interface. */
public class EntryRelayTest {

  private static final Duration TIMEOUT = RelayFixtures.TIMEOUT;

  /** Tests of relays that succeed. */
  public static class Responses extends RelayTestBase {

    @Test
    public void costNothingWhileNoneIsNeeded() {
      RelayEntry first = newEntry("e1");
      RelayEntry second = newEntry("e2");
      first.addPeer(second);
      assertEquals(first.relay.getChannelCount(), 1);
      assertAnswers(first.relay("r1"), "r1", RelayFixtures.newBytes(10, 1));
      assertEquals(first.relay.getChannelCount(), 2);
      assertAnswers(first.relay("r2"), "r2", RelayFixtures.newBytes(10, 1));
      assertEquals(first.relay.getChannelCount(), 2);
    }

    @Test
    public void carryLongBodiesInBothDirections() throws Exception {
      RelayEntry first = newEntry("e1");
      RelayEntry second = newEntry("e2");
      first.addPeer(second);
      byte[] body = RelayFixtures.newBytes(5_000_000, 3);
      List<ResponsePart> parts =
          first
              .relay
              .relay(RelayFixtures.newRequest("r1", body, Duration.ofSeconds(20)))
              .collectList()
              .block(TIMEOUT);
      assertAnswers(parts, "r1", body);
      assertEquals(second.bodies.get(0), body);
      RelayFixtures.await(() -> first.budget.getUsed() == 0 && second.budget.getUsed() == 0);
    }

    @Test
    public void belongToTheirOwnRequestsWhileManyAreInFlightInBothDirections() {
      List<RelayEntry> entries = List.of(newEntry("e1"), newEntry("e2"), newEntry("e3"));
      for (RelayEntry entry : entries) {
        entries.forEach(entry::addPeer);
        entry.forwarder =
            request -> RelayEntry.answer(request).delayElements(Duration.ofMillis(1)).limitRate(1);
      }
      List<Boolean> results =
          Flux.range(0, 600)
              .flatMap(
                  i -> {
                    byte[] body = RelayFixtures.newBytes(i * 97 % 90_000, i);
                    RelayedRequest request =
                        RelayFixtures.newRequest("r" + i, body, Duration.ofSeconds(20));
                    return entries
                        .get(i % 3)
                        .relay
                        .relay(request)
                        .collectList()
                        .map(
                            parts -> {
                              assertAnswers(parts, "r" + i, body);
                              return true;
                            });
                  },
                  150)
              .collectList()
              .block(TIMEOUT.multipliedBy(2));
      assertEquals(results.size(), 600);
      int served = entries.stream().mapToInt(e -> e.requests.size()).sum();
      assertEquals(served, 600);
      for (RelayEntry entry : entries) {
        assertTrue(entry.requests.size() > 100, "uneven: " + entry.requests.size());
        assertEquals(entry.count("fireflyshed.relay.sent", "outcome", "complete"), 200.0);
      }
    }

    @Test
    public void areProducedOnlyAsFastAsTheyAreRead() throws Exception {
      RelayEntry first = newEntry("e1");
      RelayEntry second = newEntry("e2");
      first.addPeer(second);
      AtomicInteger produced = new AtomicInteger();
      byte[] chunk = RelayFixtures.newBytes(1000, 1);
      second.forwarder =
          request ->
              Flux.<ResponsePart>just(RelayFixtures.newHead("r1"))
                  .concatWith(
                      Flux.range(0, 1000)
                          .doOnNext(i -> produced.incrementAndGet())
                          .map(i -> new ResponsePart.BodyChunk(chunk)));
      AtomicInteger read = new AtomicInteger();
      BaseSubscriber<ResponsePart> subscriber =
          new BaseSubscriber<>() {
            @Override
            protected void hookOnSubscribe(org.reactivestreams.Subscription subscription) {
              request(3);
            }

            @Override
            protected void hookOnNext(ResponsePart part) {
              read.incrementAndGet();
            }
          };
      AtomicBoolean isComplete = new AtomicBoolean();
      first
          .relay
          .relay(RelayFixtures.newRequest("r1"))
          .doOnComplete(() -> isComplete.set(true))
          .subscribe(subscriber);
      RelayFixtures.await(() -> read.get() == 3);
      // A second response over the same connection isn't held up by the first.
      second.forwarder = RelayEntry::answer;
      assertAnswers(first.relay("r2"), "r2", RelayFixtures.newBytes(10, 1));
      assertTrue(
          produced.get() <= 3 + 2 * RelayExchange.WINDOW_FRAMES, "produced " + produced.get());
      subscriber.requestUnbounded();
      RelayFixtures.await(isComplete::get);
      assertEquals(read.get(), 1001);
    }

    @Test
    public void areNotDisturbedByDuplicateAndLateFrames() throws Exception {
      RawPeer peer =
          newRawPeer(
              "raw",
              PeerChannelHandler.MAX_VERSION,
              (frame, connection) -> {
                long id = frame.getRequest();
                if (frame.getBodyCase() == BodyCase.RELAY_OFFER) {
                  connection.write(RelayFrameUtils.toAcceptance(id));
                  connection.write(RelayFrameUtils.toAcceptance(id));
                  connection.write(RelayFrameUtils.toRefusal(id, Duration.ZERO));
                } else if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
                  String text = frame.getRelayRequest().getId();
                  PeerProto.Frame head =
                      RelayFrameUtils.toHead(id, 0, RelayFixtures.newAnswer(text));
                  List<PeerProto.Frame> chunks =
                      RelayFrameUtils.toChunks(id, 1, RelayFixtures.newBytes(10, 1));
                  for (int i = 0; i < 2; i++) {
                    connection.write(head);
                    connection.write(chunks.get(0));
                  }
                  connection.write(RelayFrameUtils.toEnd(id, 2));
                  connection.write(RelayFrameUtils.toEnd(id, 2));
                  connection.write(chunks.get(0));
                  connection.write(RelayFrameUtils.toChunks(id + 1, 0, new byte[] {1}).get(0));
                }
              });
      RelayEntry entry = newEntry("e1");
      entry.addPeer("raw", peer.getAddress());
      for (int i = 0; i < 20; i++) {
        assertAnswers(entry.relay("r" + i), "r" + i, RelayFixtures.newBytes(10, 1));
      }
      assertEquals(peer.count(BodyCase.RELAY_REQUEST), 20);
      assertEquals(peer.countConnections(), 1);
    }
  }

  /** Tests of failures before a request is sent, which lead to the next entry. */
  public static class Offers extends RelayTestBase {

    private RelayEntry good;
    private RelayEntry entry;

    private void addGoodPeerThatIsTriedLast() {
      good = newEntry("good");
      // An entry of another availability zone is tried after those of the same zone.
      entry.peers.add(new EntryPeer(good.id, new AvailabilityZone("z"), good.address, 0));
    }

    private void assertMovesOn(String result) {
      assertAnswers(entry.relay("r1"), "r1", RelayFixtures.newBytes(10, 1));
      assertEquals(entry.count("fireflyshed.relay.offers", "result", result), 1.0);
      // The peer that failed is left out now.
      assertAnswers(entry.relay("r2"), "r2", RelayFixtures.newBytes(10, 1));
      assertEquals(entry.count("fireflyshed.relay.offers", "result", result), 1.0);
      assertEquals(good.requests.size(), 2);
    }

    private static InetSocketAddress findClosedPort() throws IOException {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
      }
    }

    @Test
    public void entryThatIsDownIsSkipped() throws Exception {
      entry = newEntry("e1");
      entry.addPeer("down", findClosedPort());
      addGoodPeerThatIsTriedLast();
      assertMovesOn("disconnected");
    }

    @Test
    public void entryThatNeverSaysHelloIsSkippedAndDisconnected() throws Exception {
      entry = newEntry("e1");
      RawPeer silent = newRawPeer("silent", 0, (frame, connection) -> {});
      entry.addPeer("silent", silent.getAddress());
      addGoodPeerThatIsTriedLast();
      assertMovesOn("unanswered");
      RelayFixtures.await(() -> silent.countClosedConnections() == 1);
      assertEquals(silent.count(BodyCase.RELAY_REQUEST), 0);
    }

    @Test
    public void entryThatDoesNotAnswerTheOfferIsSkippedAndDisconnected() throws Exception {
      entry = newEntry("e1");
      RawPeer silent =
          newRawPeer("silent", PeerChannelHandler.MAX_VERSION, (frame, connection) -> {});
      entry.addPeer("silent", silent.getAddress());
      addGoodPeerThatIsTriedLast();
      assertMovesOn("unanswered");
      RelayFixtures.await(() -> silent.countClosedConnections() == 1);
      assertEquals(silent.count(BodyCase.RELAY_REQUEST), 0);
      long remaining = good.requests.get(0).remaining().toMillis();
      assertTrue(
          remaining <= 10_000 - RelayEntry.TIMING.offerTimeout().toMillis(),
          "remaining " + remaining);
    }

    @Test
    public void acceptanceThatComesTooLateIsIgnoredAndDoesNotDisturbOthersOnTheLink()
        throws Exception {
      entry = newEntry("e1");
      CompletableFuture<RawPeer.Connection> offered = new CompletableFuture<>();
      RawPeer late =
          newRawPeer(
              "late",
              PeerChannelHandler.MAX_VERSION,
              (frame, connection) -> {
                boolean isFirst = frame.getRequest() == 1;
                if (frame.getBodyCase() == BodyCase.PING) {
                  // Shows that the link is alive while the second offer has no answer.
                  connection.write(frame);
                } else if (frame.getBodyCase() == BodyCase.RELAY_OFFER && isFirst) {
                  connection.write(RelayFrameUtils.toAcceptance(1));
                } else if (frame.getBodyCase() == BodyCase.RELAY_OFFER) {
                  offered.complete(connection);
                }
              });
      entry.addPeer("late", late.getAddress());
      CompletableFuture<List<ResponsePart>> first =
          entry
              .relay
              .relay(RelayFixtures.newRequest("first", new byte[0], Duration.ofSeconds(15)))
              .collectList()
              .toFuture();
      RelayFixtures.await(() -> late.count(BodyCase.RELAY_REQUEST) == 1);
      CompletableFuture<List<ResponsePart>> second =
          entry.relay.relay(RelayFixtures.newRequest("r2")).collectList().toFuture();
      offered.get(10, TimeUnit.SECONDS);
      addGoodPeerThatIsTriedLast();
      assertAnswers(second.get(10, TimeUnit.SECONDS), "r2", RelayFixtures.newBytes(10, 1));
      assertEquals(entry.count("fireflyshed.relay.offers", "result", "unanswered"), 1.0);
      offered.get().write(RelayFrameUtils.toAcceptance(2));
      offered.get().write(newHead(1));
      offered.get().write(RelayFrameUtils.toEnd(1, 1));
      assertEquals(first.get(10, TimeUnit.SECONDS).size(), 1);
      assertEquals(late.count(BodyCase.RELAY_REQUEST), 1);
      assertEquals(late.countConnections(), 1);
    }

    @Test
    public void entryThatClosesTheConnectionIsSkipped() throws Exception {
      entry = newEntry("e1");
      RawPeer closing =
          newRawPeer(
              "closing",
              PeerChannelHandler.MAX_VERSION,
              (frame, connection) -> {
                if (frame.getBodyCase() == BodyCase.RELAY_OFFER) {
                  connection.close();
                }
              });
      entry.addPeer("closing", closing.getAddress());
      addGoodPeerThatIsTriedLast();
      assertMovesOn("disconnected");
    }

    @Test
    public void olderEntryGetsNoFramesOfRelays() throws Exception {
      entry = newEntry("e1");
      RawPeer older = newRawPeer("older", 1, (frame, connection) -> {});
      entry.addPeer("older", older.getAddress());
      addGoodPeerThatIsTriedLast();
      assertMovesOn("disconnected");
      assertEquals(older.count(BodyCase.RELAY_OFFER), 0);
    }

    @Test
    public void processWithAnotherNameAtTheAddressIsSkipped() throws Exception {
      entry = newEntry("e1");
      RelayEntry other = newEntry("other");
      entry.addPeer("replaced", other.address);
      addGoodPeerThatIsTriedLast();
      assertMovesOn("disconnected");
      assertEquals(other.requests.size(), 0);
    }

    @Test
    public void entryThatRefusesIsSkipped() {
      entry = newEntry("e1");
      RelayEntry refusing = newEntry("refusing");
      refusing.admission = offer -> Optional.of(Duration.ofMillis(120));
      entry.addPeer(refusing);
      addGoodPeerThatIsTriedLast();
      assertMovesOn("refused");
      assertEquals(refusing.requests.size(), 0);
      assertEquals(refusing.count("fireflyshed.relay.refusals", "reason", "not placed"), 1.0);
    }

    @Test
    public void requestFailsAsNotRunIfAllRefuse() {
      entry = newEntry("e1");
      for (int i = 0; i < RelayExchange.MAX_OFFERS + 2; i++) {
        RelayEntry refusing = newEntry("refusing-" + i);
        refusing.admission = offer -> Optional.of(Duration.ofMillis(120));
        entry.addPeer(refusing);
      }
      ForwardException error = entry.fail("r1");
      assertEquals(error.getOutcome(), Outcome.NOT_RUN);
      assertEquals(error.getRetryAfter(), Duration.ofMillis(120));
      assertFalse(error.isTimeout());
      assertEquals(
          entry.count("fireflyshed.relay.offers", "result", "refused"),
          (double) RelayExchange.MAX_OFFERS);
    }

    @Test
    public void soundEntryIsFoundBehindManyThatRefuse() {
      entry = newEntry("e1");
      for (int i = 0; i < RelayExchange.MAX_OFFERS - 1; i++) {
        RelayEntry refusing = newEntry("refusing-" + i);
        refusing.admission = offer -> Optional.of(Duration.ofMillis(120));
        entry.addPeer(refusing);
      }
      addGoodPeerThatIsTriedLast();
      assertAnswers(entry.relay("r1"), "r1", RelayFixtures.newBytes(10, 1));
      assertEquals(good.requests.size(), 1);
    }

    private static ForwardException newFailure(Outcome outcome) {
      return new ForwardException("forward", "t1", "broke", outcome, Duration.ofSeconds(1), false);
    }

    @Test
    public void requestThatAnEntryAcceptedButDidNotRunRunsOnceAtTheNext() {
      entry = newEntry("e1");
      RelayEntry failing = newEntry("failing");
      failing.forwarder = request -> Flux.error(newFailure(Outcome.NOT_RUN));
      entry.addPeer(failing);
      addGoodPeerThatIsTriedLast();
      byte[] body = RelayFixtures.newBytes(500_000, 1);
      RelayedRequest request = RelayFixtures.newFirstRequest("r1", body);
      assertAnswers(entry.relay.relay(request).collectList().block(TIMEOUT), "r1", body);
      assertEquals(failing.requests.size(), 1);
      assertEquals(good.requests.size(), 1);
      // The entry that failed is left out now.
      assertAnswers(entry.relay("r2"), "r2", RelayFixtures.newBytes(10, 1));
      assertEquals(failing.requests.size(), 1);
      assertEquals(good.requests.size(), 2);
    }

    @Test
    public void requestThatMayHaveRunIsNotOfferedAgain() {
      entry = newEntry("e1");
      RelayEntry failing = newEntry("failing");
      entry.addPeer(failing);
      addGoodPeerThatIsTriedLast();
      for (Outcome outcome : List.of(Outcome.UNKNOWN, Outcome.RAN)) {
        failing.forwarder = request -> Flux.error(newFailure(outcome));
        assertEquals(entry.fail("r1").getOutcome(), outcome);
      }
      failing.forwarder =
          request ->
              Flux.<ResponsePart>just(RelayFixtures.newHead("r1"))
                  .concatWith(Flux.error(newFailure(Outcome.NOT_RUN)));
      entry.fail("r1");
      assertEquals(failing.requests.size(), 3);
      assertEquals(good.requests.size(), 0);
    }

    @Test
    public void failureIsPassedOnIfThreeEntriesDidNotRunTheRequest() {
      entry = newEntry("e1");
      List<RelayEntry> entries = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        RelayEntry failing = newEntry("failing-" + i);
        failing.forwarder = request -> Flux.error(newFailure(Outcome.NOT_RUN));
        entry.addPeer(failing);
        entries.add(failing);
      }
      ForwardException error = entry.fail("r1");
      assertEquals(error.getMessage(), "forward at t1: broke");
      assertEquals(error.getOutcome(), Outcome.NOT_RUN);
      assertEquals(entries.stream().mapToInt(e -> e.requests.size()).sum(), 3);
    }

    @Test
    public void entriesThatAreDownAreTriedThreeTimesAtMost() throws Exception {
      entry = newEntry("e1");
      for (int i = 0; i < 5; i++) {
        entry.addPeer("down-" + i, findClosedPort());
      }
      assertEquals(entry.fail("r1").getOutcome(), Outcome.NOT_RUN);
      assertEquals(entry.count("fireflyshed.relay.offers", "result", "disconnected"), 3.0);
    }

    @Test
    public void listIsReadAgainIfNoEntryIsKnownOrUsable() {
      entry = newEntry("e1");
      assertFalse(entry.relay.isAvailable());
      assertEquals(entry.refreshes.get(), 1);
      entry.fail("r1");
      assertEquals(entry.refreshes.get(), 2);
      RelayEntry refusing = newEntry("refusing");
      refusing.admission = offer -> Optional.of(Duration.ofMillis(120));
      entry.addPeer(refusing);
      assertTrue(entry.relay.isAvailable());
      entry.fail("r2");
      assertEquals(entry.refreshes.get(), 2);
      entry.fail("r3");
      assertEquals(entry.refreshes.get(), 3);
    }

    @Test
    public void requestFailsAsNotRunIfNoOtherEntryIsKnown() {
      entry = newEntry("e1");
      entry.addPeer(entry);
      ForwardException error = entry.fail("r1");
      assertEquals(error.getOutcome(), Outcome.NOT_RUN);
      assertEquals(entry.relay.getChannelCount(), 1);
    }

    @Test
    public void requestIsNotOfferedBeyondItsTime() throws Exception {
      entry = newEntry("e1");
      for (int i = 0; i < 3; i++) {
        RawPeer silent =
            newRawPeer("silent-" + i, PeerChannelHandler.MAX_VERSION, (frame, connection) -> {});
        entry.addPeer("silent-" + i, silent.getAddress());
      }
      long startNanos = System.nanoTime();
      ForwardException error =
          entry.fail(RelayFixtures.newRequest("r1", new byte[0], Duration.ofMillis(400)));
      assertEquals(error.getOutcome(), Outcome.NOT_RUN);
      assertTrue(error.isTimeout());
      assertTrue(System.nanoTime() - startNanos >= Duration.ofMillis(370).toNanos());
    }

    @Test
    public void moreRequestsThanAllowedAreRefused() throws Exception {
      entry = newEntry("e1");
      RelayEntry slow = newEntry("slow");
      slow.forwarder = request -> Flux.never();
      RelayEntry slowToo = newEntry("slow-too");
      slowToo.forwarder = request -> Flux.never();
      entry.addPeer(slow);
      entry.addPeer(slowToo);
      List<Disposable> started = new ArrayList<>();
      for (int i = 0; i < RelayClient.MAX_EXCHANGES; i++) {
        started.add(entry.relay.relay(RelayFixtures.newRequest("r" + i)).subscribe());
      }
      RelayFixtures.await(
          () -> slow.requests.size() + slowToo.requests.size() == RelayClient.MAX_EXCHANGES);
      assertEquals(entry.fail("more").getOutcome(), Outcome.NOT_RUN);
      started.forEach(Disposable::dispose);
      RelayFixtures.await(() -> slow.relay.getServedCount() + slowToo.relay.getServedCount() == 0);
      slow.forwarder = RelayEntry::answer;
      slowToo.forwarder = RelayEntry::answer;
      assertAnswers(entry.relay("r"), "r", RelayFixtures.newBytes(10, 1));
    }
  }

  /** Tests of failures after a request was sent, which is never sent again. */
  public static class Failures extends RelayTestBase {

    private void assertUnknown(RawPeer.Script script, int parts) throws Exception {
      RawPeer peer = newRawPeer("raw", PeerChannelHandler.MAX_VERSION, accepting(script));
      RelayEntry entry = newEntry("e1");
      entry.addPeer("raw", peer.getAddress());
      RelayEntry other = newEntry("other");
      entry.peers.add(new EntryPeer(other.id, new AvailabilityZone("z"), other.address, 0));
      List<ResponsePart> received = new CopyOnWriteArrayList<>();
      ForwardException error =
          expectThrows(
              ForwardException.class,
              () ->
                  entry
                      .relay
                      .relay(RelayFixtures.newRequest("r1"))
                      .doOnNext(received::add)
                      .blockLast(TIMEOUT));
      assertEquals(error.getOutcome(), Outcome.UNKNOWN);
      assertEquals(error.getPeer(), "raw");
      assertEquals(received.size(), parts);
      assertEquals(peer.count(BodyCase.RELAY_REQUEST), 1);
      assertEquals(other.requests.size(), 0);
    }

    @Test
    public void connectionLostAfterTheRequestIsUnknown() throws Exception {
      assertUnknown(
          (frame, connection) -> {
            if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
              connection.close();
            }
          },
          0);
    }

    @Test
    public void connectionLostWithinTheResponseIsUnknown() throws Exception {
      assertUnknown(
          (frame, connection) -> {
            if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
              connection.write(newHead(frame.getRequest()));
              connection.close();
            }
          },
          1);
    }

    @Test
    public void missingFrameIsUnknown() throws Exception {
      assertUnknown(
          (frame, connection) -> {
            if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
              connection.write(newHead(frame.getRequest()));
              connection.write(
                  RelayFrameUtils.toChunks(frame.getRequest(), 2, new byte[] {1}).get(0));
            }
          },
          1);
    }

    @Test
    public void responseThatEndsTooEarlyIsUnknown() throws Exception {
      assertUnknown(
          (frame, connection) -> {
            if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
              connection.write(newHead(frame.getRequest()));
              connection.write(RelayFrameUtils.toEnd(frame.getRequest(), 3));
            }
          },
          1);
    }

    @Test
    public void responseWithoutHeadIsUnknown() throws Exception {
      assertUnknown(
          (frame, connection) -> {
            if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
              connection.write(
                  RelayFrameUtils.toChunks(frame.getRequest(), 0, new byte[] {1}).get(0));
            }
          },
          0);
    }

    @Test
    public void invalidHeadIsUnknown() throws Exception {
      PeerProto.RelayHeader header =
          PeerProto.RelayHeader.newBuilder().setName("a b").setValue("c").build();
      assertUnknown(
          (frame, connection) -> {
            if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
              connection.write(
                  PeerProto.Frame.newBuilder()
                      .setRequest(frame.getRequest())
                      .setRelayHead(PeerProto.RelayHead.newBuilder().addHeaders(header))
                      .build());
            }
          },
          0);
    }

    @Test
    public void timeoutAfterTheRequestIsUnknown() {
      RelayEntry entry = newEntry("e1");
      RelayEntry slow = newEntry("slow");
      AtomicBoolean isCancelled = new AtomicBoolean();
      slow.forwarder =
          request -> Flux.<ResponsePart>never().doOnCancel(() -> isCancelled.set(true));
      entry.addPeer(slow);
      ForwardException error =
          entry.fail(RelayFixtures.newRequest("r1", new byte[0], Duration.ofMillis(900)));
      assertEquals(error.getOutcome(), Outcome.UNKNOWN);
      assertTrue(error.isTimeout());
    }

    @Test
    public void failureOfThePeerIsPassedOn() {
      RelayEntry entry = newEntry("e1");
      RelayEntry failing = newEntry("failing");
      failing.forwarder =
          request ->
              Flux.error(
                  new ForwardException(
                      "forward", "t1", "broke", Outcome.RAN, Duration.ofMillis(700), false));
      entry.addPeer(failing);
      ForwardException error = entry.fail("r1");
      assertEquals(error.getMessage(), "forward at t1: broke");
      assertEquals(error.getOutcome(), Outcome.RAN);
      assertEquals(error.getRetryAfter(), Duration.ofMillis(700));
      assertEquals(entry.count("fireflyshed.relay.sent", "outcome", "ran"), 1.0);
      assertEquals(failing.count("fireflyshed.relay.served", "outcome", "ran"), 1.0);
    }

    @Test
    public void unexpectedErrorOfThePeerIsUnknown() {
      RelayEntry entry = newEntry("e1");
      RelayEntry failing = newEntry("failing");
      failing.forwarder =
          request -> {
            throw new IllegalStateException("unexpected");
          };
      entry.addPeer(failing);
      assertEquals(entry.fail("r1").getOutcome(), Outcome.UNKNOWN);
      failing.forwarder = RelayEntry::answer;
      assertAnswers(entry.relay("r2"), "r2", RelayFixtures.newBytes(10, 1));
    }

    @Test
    public void closingTheRelayFailsItsRequests() throws Exception {
      RelayEntry entry = newEntry("e1");
      RelayEntry slow = newEntry("slow");
      slow.forwarder = request -> Flux.never();
      entry.addPeer(slow);
      CompletableFuture<List<ResponsePart>> response =
          entry.relay.relay(RelayFixtures.newRequest("r1")).collectList().toFuture();
      RelayFixtures.await(() -> slow.requests.size() == 1);
      entry.relay.close();
      Throwable error =
          expectThrows(
                  java.util.concurrent.ExecutionException.class,
                  () -> response.get(20, TimeUnit.SECONDS))
              .getCause();
      assertEquals(((ForwardException) error).getOutcome(), Outcome.UNKNOWN);
      RelayFixtures.await(() -> slow.relay.getServedCount() == 0);
      assertEquals(entry.fail("r2").getOutcome(), Outcome.NOT_RUN);
    }
  }
}
