package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.PeerId;
import java.util.List;

/**
 * Represents a part of a streamed response: its head, which comes first, or a chunk of its body.
 */
public sealed interface ResponsePart {

  /**
   * Holds the status and headers of a response.
   *
   * @param response the status and headers, not null
   * @param origin where the response comes from, not null
   */
  record Head(TargetAnswer response, ResponseOrigin origin) implements ResponsePart {

    /**
     * Creates the head of a response whose origin is not known.
     *
     * @param response the status and headers, not null
     */
    public Head(TargetAnswer response) {
      this(response, ResponseOrigin.unknown());
    }

    /**
     * Returns the fields that tell in a log where this response comes from and what it states.
     *
     * @return alternately the name and the value of each field, never null
     */
    public List<Object> getLogFields() {
      return List.of(
          "target",
          origin.target().map(InstanceId::value).orElse("-"),
          "entry",
          origin.entry().map(PeerId::value).orElse("-"),
          "earlier_requests",
          origin.earlierRequests(),
          "stated_request",
          response.requestId().orElse("-"),
          "status",
          response.status());
    }
  }

  /**
   * Holds a chunk of a response body.
   *
   * @param bytes the bytes, not null
   */
  record BodyChunk(byte[] bytes) implements ResponsePart {}
}
