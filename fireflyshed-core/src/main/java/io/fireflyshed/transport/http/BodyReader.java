package io.fireflyshed.transport.http;

import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies within limits on size and time. */
public final class BodyReader {

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
    String declaredLength = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
    // Up to 18 digits always fit into a long.
    if (declaredLength != null && declaredLength.length() > 18
        || parseLength(declaredLength) > maxBytes) {
      return Mono.error(newTooLarge(maxBytes));
    }
    return request
        .receive()
        .asByteArray()
        .reduceWith(ByteArrayOutputStream::new, (body, part) -> append(body, part, maxBytes))
        .map(ByteArrayOutputStream::toByteArray)
        .timeout(timeout, Mono.error(() -> newTooSlow(timeout)));
  }

  private static long parseLength(String declaredLength) {
    return declaredLength == null ? 0 : Long.parseLong(declaredLength);
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
