package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import reactor.core.publisher.Flux;

/** Limits error responses to streams, which are held until they are complete. */
final class ResponseUtils {

  private ResponseUtils() {}

  /** Fails an attempt whose error response is too long to be held; events are not limited. */
  static Flux<ResponsePart> limitErrorSize(String peer, Flux<ResponsePart> parts) {
    return parts.switchOnFirst(
        (first, all) -> isErrorHead(first.get()) ? limitSize(peer, all) : all);
  }

  private static Flux<ResponsePart> limitSize(String peer, Flux<ResponsePart> parts) {
    return Flux.defer(
        () -> {
          long[] size = new long[1];
          return parts.doOnNext(
              part -> {
                size[0] += part instanceof ResponsePart.BodyChunk chunk ? chunk.bytes().length : 0;
                if (size[0] > HeldResponse.MAX_HELD_BYTES) {
                  throw newTooLongException(peer);
                }
              });
        });
  }

  private static AttemptException newTooLongException(String peer) {
    String message = "the error response exceeds " + HeldResponse.MAX_HELD_BYTES + " bytes";
    return new AttemptException("forward", peer, Outcome.RAN, message, null);
  }

  private static boolean isErrorHead(ResponsePart part) {
    return part instanceof ResponsePart.Head head && !head.response().isSuccess();
  }
}
