package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.target.Target;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/** Passes on all headers except those of a connection. */
final class HeaderCodec implements TrafficCodec {

  private static final Set<String> CONNECTION_HEADERS =
      Set.of("connection", "transfer-encoding", "content-length");

  @Override
  public TrafficRequest decodeRequest(HttpMethod method, String uri, HttpHeaders headers) {
    return new TrafficRequest(
        headers.get("X-Id"),
        method,
        uri,
        headers.get("Host"),
        headers,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        OptionalLong.empty());
  }

  @Override
  public HttpHeaders newTargetHeaders(
      TrafficRequest request,
      Target target,
      Optional<String> account,
      Duration remainingTime,
      OptionalLong lastEventId) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("X-Id", request.id());
    lastEventId.ifPresent(id -> headers.set("X-Last-Event", id));
    return headers;
  }

  @Override
  public TargetAnswer decodeAnswer(int status, HttpHeaders headers) {
    return new TargetAnswer(
        status,
        headers,
        Optional.ofNullable(headers.get("X-Id")),
        headers.contains("X-Signature"),
        false,
        Optional.empty(),
        OptionalDouble.empty());
  }

  @Override
  public HttpHeaders newCallerHeaders(TargetAnswer response) {
    HttpHeaders headers = new DefaultHttpHeaders();
    response.headers().entries().stream()
        .filter(h -> !CONNECTION_HEADERS.contains(h.getKey().toLowerCase(Locale.ROOT)))
        .forEach(h -> headers.add(h.getKey(), h.getValue()));
    return headers;
  }
}
