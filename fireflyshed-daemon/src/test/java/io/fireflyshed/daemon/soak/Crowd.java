package io.fireflyshed.daemon.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections that send the same bytes again and again and read nothing. Not thread safe.
 *
 * <p>A connection that ended counts as having sent everything.
 */
final class Crowd implements AutoCloseable {

  /** The passes without a byte sent, each followed by a pause, after which sending is given up. */
  private static final int MAX_IDLE_PASSES = 60;

  private static final long PAUSE_MILLIS = 25;

  private static final class Member {
    private final SocketChannel channel;
    private final ByteBuffer start;
    private final ByteBuffer part;
    private long left;

    Member(SocketChannel channel, byte[] start, byte[] part, long bytes) {
      this.channel = channel;
      this.start = ByteBuffer.wrap(start);
      this.part = ByteBuffer.wrap(part);
      left = bytes;
    }

    /** Sends on and returns the number of bytes that the system took. */
    long send() {
      if (left <= 0) {
        return 0;
      }
      try {
        if (!part.hasRemaining()) {
          part.rewind();
        }
        long partLeft = Math.max(0, left - start.remaining());
        part.limit((int) Math.min(part.capacity(), part.position() + partLeft));
        long sent = channel.write(new ByteBuffer[] {start, part});
        left -= sent;
        part.limit(part.capacity());
        return sent;
      } catch (IOException e) {
        left = 0;
        return 0;
      }
    }
  }

  private final List<Member> members = new ArrayList<>();

  /**
   * Connects and sends.
   *
   * @param address the address to connect to, not null
   * @param connections the number of connections
   * @param start what each sends once, not null
   * @param part what each sends again and again after it, not null
   * @param bytes the number of bytes that each sends in all
   */
  Crowd(InetSocketAddress address, int connections, String start, String part, long bytes)
      throws IOException, InterruptedException {
    byte[] startBytes = start.getBytes(StandardCharsets.ISO_8859_1);
    byte[] partBytes = part.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < connections; i++) {
      try {
        SocketChannel channel = SocketChannel.open(address);
        channel.configureBlocking(false);
        members.add(new Member(channel, startBytes, partBytes, bytes));
      } catch (IOException e) {
        // The process refuses the connection, or has ended, which the test finds out.
        break;
      }
    }
    send();
  }

  private void send() throws InterruptedException {
    int idlePasses = 0;
    while (idlePasses < MAX_IDLE_PASSES && members.stream().anyMatch(m -> m.left > 0)) {
      long sent = members.stream().mapToLong(Member::send).sum();
      idlePasses = sent > 0 ? 0 : idlePasses + 1;
      if (sent == 0) {
        Thread.sleep(PAUSE_MILLIS);
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Member member : members) {
      member.channel.close();
    }
  }
}
