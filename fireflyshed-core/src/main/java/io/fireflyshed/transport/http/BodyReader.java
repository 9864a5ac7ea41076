package io.fireflyshed.transport.http;

import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies up to a limit of size and time. */
public final class BodyReader {

  private BodyReader() {}

  /**
   * Reads a whole body.
   *
   * @param request the request, not null
   * @param maxBytes the largest accepted size in bytes
   * @param timeout the longest wait for the whole body, not null
   * @return the body; it fails with a {@link ProblemException} of status 413 or 408
   */
  public static Mono<byte[]> read(HttpServerRequest request, int maxBytes, Duration timeout) {
    String declared = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
    if (declared != null && declared.length() > 18 || parse(declared) > maxBytes) {
      return Mono.error(newTooLarge(maxBytes));
    }
    return request
        .receive()
        .asByteArray()
        .reduceWith(ByteArrayOutputStream::new, (all, part) -> append(all, part, maxBytes))
        .map(ByteArrayOutputStream::toByteArray)
        .timeout(timeout, Mono.error(() -> newTooSlow(timeout)));
  }

  private static long parse(String declared) {
    return declared == null ? 0 : Long.parseLong(declared);
  }

  private static ByteArrayOutputStream append(
      ByteArrayOutputStream all, byte[] part, int maxBytes) {
    if (all.size() + part.length > maxBytes) {
      throw newTooLarge(maxBytes);
    }
    all.write(part, 0, part.length);
    return all;
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
