package io.fireflyshed.transport.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Optional;

/** Finds what a lenient decoder accepts in the heads of requests and responses. */
final class MessageSyntaxUtils {

  private MessageSyntaxUtils() {}

  /**
   * Finds a reason for which a request can't be passed on unaltered.
   *
   * @param request the request, whose head was decoded, not null
   * @return the reason, empty if there is none, never null
   */
  static Optional<String> findDefect(HttpRequest request) {
    if (request.protocolVersion().majorVersion() != 1) {
      return Optional.of("unsupported version");
    }
    if (!isTargetValid(request)) {
      return Optional.of("malformed request target");
    }
    if (!isTransferCodingKnown(request.headers())) {
      return Optional.of("unsupported transfer coding");
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
      return Optional.of("several Host headers");
    }
    return Optional.empty();
  }

  /** Tests for a target of visible characters of ASCII without a fragment. */
  private static boolean isTargetValid(HttpRequest request) {
    return !request.method().equals(HttpMethod.CONNECT)
        && request.uri().chars().allMatch(c -> c > ' ' && c < 0x7f && c != '#');
  }

  /**
   * Tests whether a body isn't encoded otherwise than in chunks.
   *
   * @param headers the headers of a request or response, not null
   * @return whether the end of the body can be told by them
   */
  static boolean isTransferCodingKnown(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
  }
}
