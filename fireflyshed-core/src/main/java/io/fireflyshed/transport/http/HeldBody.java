package io.fireflyshed.transport.http;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds the body of a request, once, until the request has ended.
 *
 * <p>The body is appended as it arrives, and read only when it is complete. Larger bodies lie
 * outside of the heap, so that they leave the memory when they are closed. Buffers that were taken
 * before stay valid until they are released. Thread safe.
 */
public final class HeldBody implements AutoCloseable {

  /** The size up to which a body lies on the heap, where it is cheaper. */
  private static final int MAX_HEAP_BYTES = ByteBudget.SMALL_BYTES;

  /** The size of the segments of a body whose length isn't known, except for the first. */
  private static final int SEGMENT_BYTES = 64 << 10;

  private final Optional<ByteBudget.Reservation> reservation;

  /** The parts of the body, only the last of which can be written to. */
  private final List<ByteBuf> segments = new ArrayList<>();

  private final boolean isLengthKnown;
  private int length;
  private boolean isClosed;

  /**
   * Creates a body without bytes.
   *
   * @param reservation includes the expected length already and is closed with the body, empty if
   *     the body isn't counted, not null
   * @param expectedLength the length of the body in bytes, or 0 if it is not known
   */
  public HeldBody(Optional<ByteBudget.Reservation> reservation, int expectedLength) {
    this.reservation = Objects.requireNonNull(reservation, "reservation");
    this.isLengthKnown = expectedLength > 0;
    if (isLengthKnown) {
      addFirstSegment(expectedLength);
    }
  }

  private void addFirstSegment(int bytes) {
    try {
      segments.add(allocate(bytes));
    } catch (OutOfMemoryError e) {
      reservation.ifPresent(ByteBudget.Reservation::close);
      throw e;
    }
  }

  /**
   * Creates a complete body that isn't counted.
   *
   * @param bytes the body, not copied, not null
   * @return the body, never null
   */
  public static HeldBody of(byte[] bytes) {
    HeldBody body = new HeldBody(Optional.empty(), 0);
    body.segments.add(Unpooled.wrappedBuffer(bytes));
    body.length = bytes.length;
    return body;
  }

  private static ByteBuf allocate(int bytes) {
    return bytes > MAX_HEAP_BYTES
        ? Unpooled.directBuffer(bytes, bytes)
        : Unpooled.buffer(bytes, bytes);
  }

  /**
   * Appends a part.
   *
   * @param part the part, which is copied, not null
   * @return whether there was room for it; without, or once the body is closed, it isn't appended
   */
  public synchronized boolean append(ByteBuf part) {
    if (isClosed) {
      return false;
    }
    while (part.isReadable()) {
      if (!hasRoom() && !addSegment(part.readableBytes())) {
        return false;
      }
      ByteBuf last = segments.get(segments.size() - 1);
      int count = Math.min(part.readableBytes(), last.writableBytes());
      last.writeBytes(part, count);
      length += count;
    }
    return true;
  }

  private boolean hasRoom() {
    return !segments.isEmpty() && segments.get(segments.size() - 1).isWritable();
  }

  /** Adds a segment; the first one is small if it may suffice, as for most bodies. */
  private boolean addSegment(int neededBytes) {
    boolean isSmall = segments.isEmpty() && neededBytes <= MAX_HEAP_BYTES;
    int segmentBytes = isSmall ? MAX_HEAP_BYTES : SEGMENT_BYTES;
    if (isLengthKnown || reservation.isPresent() && !reservation.get().tryGrow(segmentBytes)) {
      return false;
    }
    segments.add(allocate(segmentBytes));
    return true;
  }

  /**
   * Gets the number of bytes so far.
   *
   * @return the length
   */
  public synchronized int getLength() {
    return length;
  }

  /**
   * Returns the body as a buffer that the caller must release.
   *
   * @return a buffer with indexes of its own, never null
   * @throws IllegalStateException if the body is closed
   */
  public synchronized ByteBuf newBuffer() {
    checkOpen();
    ByteBuf[] parts = segments.stream().map(ByteBuf::retainedDuplicate).toArray(ByteBuf[]::new);
    return Unpooled.wrappedBuffer(parts);
  }

  /**
   * Copies some of the bytes.
   *
   * @param start the index of the first byte
   * @param count the number of bytes
   * @return the copy, empty if the body is closed, never null
   */
  public synchronized Optional<byte[]> copyBytes(int start, int count) {
    if (isClosed) {
      return Optional.empty();
    }
    byte[] copy = new byte[count];
    ByteBuf whole = newBuffer();
    try {
      whole.getBytes(start, copy);
      return Optional.of(copy);
    } finally {
      whole.release();
    }
  }

  /**
   * Adds the body to a digest.
   *
   * @param digest the digest, not null
   * @throws IllegalStateException if the body is closed
   */
  public synchronized void addTo(MessageDigest digest) {
    checkOpen();
    segments.forEach(segment -> digest.update(segment.nioBuffer()));
  }

  private void checkOpen() {
    if (isClosed) {
      throw new IllegalStateException("the body is closed");
    }
  }

  /**
   * Lets the budget give up the body while it is read.
   *
   * @param onEvicted ends the request; called at most once, on any thread, not null
   */
  void setEvictable(Runnable onEvicted) {
    reservation.ifPresent(r -> r.setEvictable(onEvicted));
  }

  /** Keeps the budget from giving up the body, which is complete. */
  void setNotEvictable() {
    reservation.ifPresent(ByteBudget.Reservation::setNotEvictable);
  }

  /** Releases the body, which can't be read any more. Has no effect if called again. */
  @Override
  public void close() {
    synchronized (this) {
      if (isClosed) {
        return;
      }
      isClosed = true;
      segments.forEach(ByteBuf::release);
    }
    reservation.ifPresent(ByteBudget.Reservation::close);
  }
}
