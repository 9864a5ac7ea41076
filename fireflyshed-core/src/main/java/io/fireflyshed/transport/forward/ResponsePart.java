package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TargetAnswer;

/**
 * Represents a part of a streamed response: its head, which comes first, or a chunk of its body.
 */
public sealed interface ResponsePart {

  /**
   * Holds the status and headers of a response.
   *
   * @param response the status and headers, not null
   */
  record Head(TargetAnswer response) implements ResponsePart {}

  /**
   * Holds a chunk of a response body.
   *
   * @param bytes the bytes, not null
   */
  record BodyChunk(byte[] bytes) implements ResponsePart {}
}
