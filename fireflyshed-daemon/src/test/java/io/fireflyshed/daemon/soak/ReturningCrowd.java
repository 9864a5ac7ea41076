package io.fireflyshed.daemon.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Connections that send the same bytes again and again, read nothing, and are made again as soon as
 * they have ended.
 */
final class ReturningCrowd implements AutoCloseable {

  /** The time after which an ended connection is made again. */
  private static final Duration RETURN_DELAY = Duration.ofMillis(20);

  private static final long SELECT_MILLIS = 5;

  /** Keeps the rest of what a connection sends, and when it last sent a byte. */
  private static final class Member {
    private final ByteBuffer start;
    private final ByteBuffer part;
    private long sentNanos = System.nanoTime();

    Member(byte[] start, byte[] part) {
      this.start = ByteBuffer.wrap(start);
      this.part = ByteBuffer.wrap(part);
    }
  }

  private final InetSocketAddress address;
  private final byte[] start;
  private final byte[] part;
  private final Duration stallTime;
  private final Selector selector;
  private final Queue<Long> returnNanos = new ArrayDeque<>();
  private final Thread thread;
  private volatile boolean isClosed;
  private volatile long connected;

  /**
   * Connects and sends until it is closed.
   *
   * @param address the address to connect to, not null
   * @param connections the number of connections
   * @param start what each connection sends once, not null
   * @param part what each sends again and again after it, not null
   * @param stallTime the time without a byte sent after which a connection is ended, not null
   */
  ReturningCrowd(
      InetSocketAddress address, int connections, String start, String part, Duration stallTime)
      throws IOException {
    this.address = address;
    this.start = start.getBytes(StandardCharsets.ISO_8859_1);
    this.part = part.getBytes(StandardCharsets.ISO_8859_1);
    this.stallTime = stallTime;
    selector = Selector.open();
    for (int i = 0; i < connections; i++) {
      returnNanos.add(System.nanoTime());
    }
    thread = new Thread(this::run, "crowd");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the number of connections that were made in all. */
  long getConnected() {
    return connected;
  }

  private void run() {
    while (!isClosed) {
      try {
        while (!returnNanos.isEmpty() && System.nanoTime() - returnNanos.peek() >= 0) {
          returnNanos.remove();
          connect();
        }
        selector.select(SELECT_MILLIS);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      for (SelectionKey key : selector.selectedKeys()) {
        send(key);
      }
      selector.selectedKeys().clear();
      endStalled();
    }
  }

  private void endStalled() {
    long now = System.nanoTime();
    for (SelectionKey key : selector.keys()) {
      long idleNanos = now - ((Member) key.attachment()).sentNanos;
      if (key.isValid() && idleNanos > stallTime.toNanos()) {
        end(key);
      }
    }
  }

  private void connect() throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    Member member = new Member(start, part);
    SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, member);
    try {
      if (channel.connect(address)) {
        onConnected(key);
      }
    } catch (IOException e) {
      end(key);
    }
  }

  private void onConnected(SelectionKey key) {
    connected++;
    key.interestOps(SelectionKey.OP_WRITE);
  }

  private void send(SelectionKey key) {
    SocketChannel channel = (SocketChannel) key.channel();
    Member member = (Member) key.attachment();
    try {
      if (key.isConnectable() && channel.finishConnect()) {
        onConnected(key);
      }
      if (!member.part.hasRemaining()) {
        member.part.rewind();
      }
      if (channel.write(new ByteBuffer[] {member.start, member.part}) > 0) {
        member.sentNanos = System.nanoTime();
      }
    } catch (IOException e) {
      end(key);
    }
  }

  private void end(SelectionKey key) {
    returnNanos.add(System.nanoTime() + RETURN_DELAY.toNanos());
    closeQuietly(key);
  }

  private static void closeQuietly(SelectionKey key) {
    try {
      key.channel().close();
    } catch (IOException e) {
      key.cancel();
    }
  }

  @Override
  public void close() throws InterruptedException, IOException {
    isClosed = true;
    thread.join();
    if (!selector.isOpen()) {
      return;
    }
    selector.keys().forEach(ReturningCrowd::closeQuietly);
    selector.close();
  }
}
