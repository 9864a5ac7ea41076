package io.fireflyshed.protocol.traffic;

import io.fireflyshed.state.target.Target;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Converts between the headers on the wire and descriptors of requests and responses.
 * Implementations are thread safe.
 */
public interface TrafficCodec {

  /**
   * Decodes the head of a caller's request.
   *
   * @param method the method, not null
   * @param uri the path and query, not null
   * @param headers the headers, not null
   * @return the descriptor, never null
   * @throws IllegalArgumentException if a required header is missing or malformed
   */
  TrafficRequest decodeRequest(HttpMethod method, String uri, HttpHeaders headers);

  /**
   * Creates the headers of a request to a target.
   *
   * @param request the request, not null
   * @param target the target, which is the only one that may run the request, not null
   * @param account the client account, empty for a public route, not null
   * @param remainingTime the remaining time until the deadline of the request, not null
   * @param lastEventId the id of the event after which the stream resumes, empty for a new stream,
   *     not null
   * @return the headers, never null
   */
  HttpHeaders newTargetHeaders(
      TrafficRequest request,
      Target target,
      Optional<String> account,
      Duration remainingTime,
      OptionalLong lastEventId);

  /**
   * Adds how urgent a request is to its headers for a target. Without it a target takes all
   * requests for equally urgent.
   *
   * @param headers the headers that {@link #newTargetHeaders} created, not null
   * @param priority the priority from 0 to 9, 0 for the most urgent requests
   */
  default void addPriority(HttpHeaders headers, int priority) {}

  /**
   * Decodes the head of a target's response.
   *
   * @param status the HTTP status
   * @param headers the headers, not null
   * @return the decoded head, never null
   */
  TargetAnswer decodeAnswer(int status, HttpHeaders headers);

  /**
   * Creates the headers of the response to the caller.
   *
   * @param response the head of the target's response, not null
   * @return the headers, never null
   */
  HttpHeaders newCallerHeaders(TargetAnswer response);
}
