package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.peer.generated.PeerProto.Frame.BodyCase;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.transport.forward.RelayListener;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests requests whose entry falls silent after it accepted them. */
public class SilentEntryTest extends RelayTestBase {

  /** Longer than the silence after which an entry counts as silent. */
  private static final int PROBES_UNTIL_ANSWER =
      2
          * (int)
              (RelayEntry.TIMING.maxSilence().toNanos()
                  / RelayEntry.TIMING.probeInterval().toNanos());

  /** Answers a request when it is probed so late that its entry counts as silent before. */
  private static RawPeer.Script newLateAnswer() {
    AtomicLong id = new AtomicLong();
    AtomicInteger probes = new AtomicInteger();
    return (frame, connection) -> {
      if (frame.getBodyCase() == BodyCase.RELAY_REQUEST) {
        id.set(frame.getRequest());
      } else if (frame.getBodyCase() == BodyCase.PING
          && probes.incrementAndGet() == PROBES_UNTIL_ANSWER) {
        connection.write(newHead(id.get()));
        connection.write(RelayFrameUtils.toEnd(id.get(), 1));
      }
    };
  }

  @Test
  public void silenceAfterTheRequestIsToldLongBeforeTheDeadlineAndDoesNotEndTheRequest()
      throws Exception {
    RawPeer peer = newRawPeer("raw", PeerChannelHandler.MAX_VERSION, accepting(newLateAnswer()));
    RelayEntry entry = newEntry("e1");
    entry.addPeer("raw", peer.getAddress());
    List<Boolean> silences = new CopyOnWriteArrayList<>();
    RelayListener listener =
        new RelayListener() {
          @Override
          public void onAttempt(InstanceId target) {}

          @Override
          public void onSilent(boolean isSilent) {
            silences.add(isSilent);
          }

          @Override
          public void onEnd(Outcome outcome) {}
        };
    RelayedRequest plain = RelayFixtures.newRequest("r1");
    RelayedRequest request =
        new RelayedRequest(
            plain.routed(),
            plain.remaining(),
            plain.lastEventId(),
            plain.maxAttempts(),
            plain.excludedTargets(),
            listener,
            () -> true);
    List<ResponsePart> parts =
        entry.relay.relay(request).collectList().block(RelayFixtures.TIMEOUT);
    assertEquals(parts.size(), 1);
    assertEquals(silences, List.of(true, false));
    assertEquals(peer.count(BodyCase.RELAY_REQUEST), 1);
  }
}
