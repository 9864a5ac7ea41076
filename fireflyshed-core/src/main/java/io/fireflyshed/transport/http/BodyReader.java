package io.fireflyshed.transport.http;

import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies within limits on size and time. */
public final class BodyReader {

  /** Keeps a refusal from waiting long for a slow body. */
  private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

  private static final int MAX_DISCARDED_BYTES = 16 << 20;

  private BodyReader() {}

  /**
   * Reads a complete body.
   *
   * @param request the request, not null
   * @param maxBytes the maximum size of the body in bytes
   * @param timeout the maximum time to receive the complete body, not null
   * @return emits the body, an empty array if the request has none; fails with a {@link
   *     ProblemException} of status 413 if the body is too large and of status 408 if it does not
   *     arrive in time
   */
  public static Mono<byte[]> read(HttpServerRequest request, int maxBytes, Duration timeout) {
    if (isTooLong(request, maxBytes)) {
      return discardTooLong(request, maxBytes);
    }
    return request
        .receive()
        .asByteArray()
        .reduceWith(ByteArrayOutputStream::new, (body, part) -> append(body, part, maxBytes))
        .map(ByteArrayOutputStream::toByteArray)
        .timeout(timeout, Mono.error(() -> newTooSlow(timeout)));
  }

  /**
   * Reads a complete body and holds it.
   *
   * <p>While it is read, the memory budget may give it up.
   *
   * @param request the request, not null
   * @param body takes the bytes, not null
   * @param maxBytes the maximum size of the body in bytes
   * @param timeout the maximum time to receive the complete body, not null
   * @param noRoom supplies the error with which the reading fails if there is no room, not null
   * @return completes at the end of the body; fails like {@link #read(HttpServerRequest, int,
   *     Duration)}, or if there is no room
   */
  public static Mono<Void> read(
      HttpServerRequest request,
      HeldBody body,
      int maxBytes,
      Duration timeout,
      Supplier<RuntimeException> noRoom) {
    if (isTooLong(request, maxBytes)) {
      return discardTooLong(request, maxBytes);
    }
    Sinks.Empty<Void> eviction = Sinks.empty();
    body.setEvictable(eviction::tryEmitEmpty);
    Mono<Void> parts =
        request
            .receive()
            .doOnNext(part -> append(body, part, maxBytes, noRoom))
            .then()
            .timeout(timeout, Mono.error(() -> newTooSlow(timeout)));
    return Mono.firstWithSignal(parts, eviction.asMono().then(Mono.error(noRoom)))
        .doOnSuccess(ignored -> body.setNotEvictable());
  }

  private static void append(
      HeldBody body, ByteBuf part, int maxBytes, Supplier<RuntimeException> noRoom) {
    if (body.getLength() + part.readableBytes() > maxBytes) {
      throw newTooLarge(maxBytes);
    }
    if (!body.append(part)) {
      throw noRoom.get();
    }
  }

  /**
   * Gets the length that a request states for its body.
   *
   * @param request the request, not null
   * @param maxBytes the maximum size of a body in bytes
   * @return the length, 0 if none is stated or it exceeds the maximum
   */
  public static int getStatedLength(HttpServerRequest request, int maxBytes) {
    return isTooLong(request, maxBytes) ? 0 : (int) parseLength(getLengthHeader(request));
  }

  private static String getLengthHeader(HttpServerRequest request) {
    return request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
  }

  /** Tests the stated length of a body; up to 18 digits always fit into a long. */
  private static boolean isTooLong(HttpServerRequest request, int maxBytes) {
    String length = getLengthHeader(request);
    return length != null && (length.length() > 18 || parseLength(length) > maxBytes);
  }

  private static <T> Mono<T> discardTooLong(HttpServerRequest request, int maxBytes) {
    return discard(request, MAX_DISCARDED_BYTES)
        .onErrorComplete(ProblemException.class)
        .then(Mono.error(() -> newTooLarge(maxBytes)));
  }

  /**
   * Reads a complete body for a short time and drops it, so that the connection can be used after
   * an answer that does not depend on the body.
   *
   * @param request the request, not null
   * @param maxBytes the maximum size of the body in bytes
   * @return completes at the end of the body; fails with a {@link ProblemException} if the body is
   *     too large, does not arrive in time or waits for a response of status 100
   */
  public static Mono<Void> discard(HttpServerRequest request, int maxBytes) {
    if (request
        .requestHeaders()
        .containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true)) {
      return Mono.error(() -> newTooSlow(Duration.ZERO));
    }
    return request
        .receive()
        .map(ByteBuf::readableBytes)
        .reduce(0, (size, partSize) -> addSize(size, partSize, maxBytes))
        .timeout(DISCARD_TIMEOUT, Mono.error(() -> newTooSlow(DISCARD_TIMEOUT)))
        .then();
  }

  private static int addSize(int size, int partSize, int maxBytes) {
    if (size + partSize > maxBytes) {
      throw newTooLarge(maxBytes);
    }
    return size + partSize;
  }

  private static long parseLength(String length) {
    return length == null ? 0 : Long.parseLong(length);
  }

  private static ByteArrayOutputStream append(
      ByteArrayOutputStream body, byte[] part, int maxBytes) {
    if (body.size() + part.length > maxBytes) {
      throw newTooLarge(maxBytes);
    }
    body.write(part, 0, part.length);
    return body;
  }

  private static ProblemException newTooLarge(int maxBytes) {
    return new ProblemException(
        Problem.ofRefusal(413, "body-too-large", "the body is larger than " + maxBytes + " bytes"));
  }

  private static ProblemException newTooSlow(Duration timeout) {
    return new ProblemException(
        Problem.ofRefusal(
            408, "body-too-slow", "the body took longer than " + timeout.toMillis() + " ms"));
  }
}
