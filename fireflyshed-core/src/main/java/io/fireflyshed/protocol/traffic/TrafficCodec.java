package io.fireflyshed.protocol.traffic;

import io.fireflyshed.state.target.Target;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/** Translates between headers on the wire and descriptors. Implementations are thread safe. */
public interface TrafficCodec {

  /**
   * Reads a caller's request.
   *
   * @param method the method, not null
   * @param uri the path and query, not null
   * @param headers the headers, not null
   * @return the descriptor, never null
   * @throws IllegalArgumentException if a header that is needed is missing or malformed
   */
  TrafficRequest decodeRequest(HttpMethod method, String uri, HttpHeaders headers);

  /**
   * Makes the headers with which a request goes to a target.
   *
   * @param request the request, not null
   * @param target the target, the only one that may run the request, not null
   * @param account the client account, empty on public routes, not null
   * @param left the time that is left, not null
   * @param lastEventId the event after which a stream goes on, not null
   * @return new headers, never null
   */
  HttpHeaders newTargetHeaders(
      TrafficRequest request,
      Target target,
      Optional<String> account,
      Duration left,
      OptionalLong lastEventId);

  /**
   * Reads the head of a target's answer.
   *
   * @param status the status
   * @param headers the headers, not null
   * @return the head, never null
   */
  TargetAnswer decodeAnswer(int status, HttpHeaders headers);

  /**
   * Makes the headers with which a target's answer goes to the caller.
   *
   * @param answer the answer, not null
   * @return new headers, never null
   */
  HttpHeaders newCallerHeaders(TargetAnswer answer);
}
