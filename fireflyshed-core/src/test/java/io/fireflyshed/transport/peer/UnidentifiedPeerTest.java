package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.peer.PeerId;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests connections to the port between entries whose peers don't say hello. */
public class UnidentifiedPeerTest {

  private static final int SILENT_CONNECTIONS = 400;
  private static final int MAX_CHANNELS = 200;
  private static final int MAX_SECONDS = 20;

  /** Counts down when a connection becomes ready. */
  private record ReadyReceiver(CountDownLatch ready) implements PeerFrameReceiver {

    @Override
    public void onReady(PeerId peer, Channel channel) {
      ready.countDown();
    }

    @Override
    public void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel) {}

    @Override
    public void onWritable(PeerId peer, Channel channel) {}

    @Override
    public void onClosed(PeerId peer, Channel channel) {}
  }

  private static PeerConnections newConnections(String id, CountDownLatch ready) {
    return new PeerConnections(new PeerId(id), new ReadyReceiver(ready));
  }

  @Test
  public void connectionWithoutAHelloIsClosed() {
    EmbeddedChannel channel =
        new EmbeddedChannel(
            new PeerFrameEncoder(),
            new PeerChannelHandler(new PeerId("p1"), new ReadyReceiver(new CountDownLatch(1))));
    channel.advanceTimeBy(30, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertFalse(channel.isOpen());
    channel.releaseOutbound();
  }

  @Test
  public void manyConnectionsWithoutAHelloLeaveRoomForEntries() throws Exception {
    CountDownLatch ready = new CountDownLatch(2);
    List<Socket> silent = new ArrayList<>();
    try (PeerConnections listening = newConnections("p1", ready);
        PeerConnections connecting = newConnections("p2", ready)) {
      InetAddress loopback = InetAddress.getByName("127.0.0.1");
      InetSocketAddress address = listening.listen(new InetSocketAddress(loopback, 0));
      for (int i = 0; i < SILENT_CONNECTIONS; i++) {
        silent.add(new Socket(loopback, address.getPort()));
      }
      connecting.connectToAddress(address);
      assertTrue(ready.await(MAX_SECONDS, TimeUnit.SECONDS), "the entry's connection is not ready");
      int channels = listening.getChannelCount();
      assertTrue(channels <= MAX_CHANNELS, channels + " channels");
    } finally {
      for (Socket socket : silent) {
        closeQuietly(socket);
      }
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
