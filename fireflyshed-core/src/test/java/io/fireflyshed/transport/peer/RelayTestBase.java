package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.peer.generated.PeerProto.Frame.BodyCase;
import io.fireflyshed.transport.forward.ResponsePart;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;

/** Creates entries and raw peers and closes them after each test. */
public abstract class RelayTestBase {

  private final List<AutoCloseable> opened = new ArrayList<>();

  RelayEntry newEntry(String name) {
    RelayEntry entry = new RelayEntry(name);
    opened.add(entry.relay);
    return entry;
  }

  RawPeer newRawPeer(String name, int version, RawPeer.Script script) throws IOException {
    RawPeer peer = new RawPeer(name, version, script);
    opened.add(peer);
    return peer;
  }

  RawPeer.Connection connect(RelayEntry entry) throws IOException {
    RawPeer.Connection connection = RawPeer.Connection.open(entry.address, "raw");
    opened.add(connection);
    return connection;
  }

  static PeerProto.Frame newHead(long id) {
    return RelayFrameUtils.toHead(id, 0, RelayFixtures.newAnswer("raw-answer"));
  }

  /** Answers each offer with an acceptance and leaves the rest to another script. */
  static RawPeer.Script accepting(RawPeer.Script next) {
    return (frame, connection) -> {
      if (frame.getBodyCase() == BodyCase.RELAY_OFFER) {
        connection.write(RelayFrameUtils.toAcceptance(frame.getRequest()));
      } else {
        next.onFrame(frame, connection);
      }
    };
  }

  /** Closes everything that the test opened. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    for (AutoCloseable closeable : opened) {
      closeable.close();
    }
    opened.clear();
  }

  static void assertAnswers(List<ResponsePart> parts, String requestId, byte[] body) {
    assertEquals(RelayFixtures.getRequestId(parts), requestId);
    assertEquals(RelayFixtures.getBody(parts), body, requestId);
  }
}
