package io.fireflyshed.transport.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.traffic.LoadSample;
import io.fireflyshed.protocol.traffic.PromptDescriptor;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.WeightedService;
import io.fireflyshed.transport.forward.CallerLink;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayListener;
import io.fireflyshed.transport.forward.RelayOffer;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.RoutedRequest;
import io.fireflyshed.transport.http.HeldBody;
import io.fireflyshed.transport.http.StatusLineUtils;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Converts relayed requests and their responses to frames and back.
 *
 * <p>Methods that read a frame throw an {@link IllegalArgumentException} if a field is invalid.
 */
final class RelayFrameUtils {

  /** Limits the bytes of a body in one frame, so that the relays of a connection take turns. */
  static final int MAX_PART_BYTES = 32 << 10;

  /**
   * Limits the texts of a failure in characters; they only appear in logs and problem responses.
   */
  private static final int MAX_TEXT_LENGTH = 500;

  /** Limits received delays and durations in milliseconds; nothing waits as long as a day. */
  private static final long MAX_MILLIS = Duration.ofDays(1).toMillis();

  private RelayFrameUtils() {}

  static PeerProto.Frame toOffer(long id, RelayedRequest request) {
    RelayOffer offer = RelayOffer.of(request.routed());
    PeerProto.RelayOffer.Builder body =
        PeerProto.RelayOffer.newBuilder()
            .setService(offer.service().value())
            .setBodyBytes(request.routed().body().getLength());
    offer.model().ifPresent(body::setModel);
    return newFrame(id).setRelayOffer(body).build();
  }

  static RelayOffer fromOffer(PeerProto.RelayOffer body) {
    return new RelayOffer(
        new ServiceName(body.getService()),
        body.hasModel() ? Optional.of(body.getModel()) : Optional.empty());
  }

  static PeerProto.Frame toAcceptance(long id) {
    return newFrame(id).setRelayReply(PeerProto.RelayReply.newBuilder().setAccepted(true)).build();
  }

  /** Creates a reply that names a target to which an accepted request is sent. */
  static PeerProto.Frame toAttempt(long id, InstanceId target) {
    return newFrame(id)
        .setRelayReply(
            PeerProto.RelayReply.newBuilder().setAccepted(true).setTarget(target.value()))
        .build();
  }

  /** Creates a reply that names a target to which nothing was sent. */
  static PeerProto.Frame toUnreachable(long id, InstanceId target) {
    return newFrame(id)
        .setRelayReply(PeerProto.RelayReply.newBuilder().setTarget(target.value()))
        .build();
  }

  /** Returns the target that a reply names, empty if it decides about an offer. */
  static Optional<InstanceId> toTarget(PeerProto.RelayReply body) {
    return body.getTarget().isEmpty()
        ? Optional.empty()
        : Optional.of(new InstanceId(body.getTarget()));
  }

  static PeerProto.Frame toRefusal(long id, Duration retryAfter) {
    return newFrame(id)
        .setRelayReply(
            PeerProto.RelayReply.newBuilder().setRetryAfterMs((int) toMillis(retryAfter)))
        .build();
  }

  static Duration toRetryAfter(PeerProto.RelayReply body) {
    return toDuration(Integer.toUnsignedLong(body.getRetryAfterMs()));
  }

  static PeerProto.Frame toCancel(long id) {
    return newFrame(id).setRelayCancel(PeerProto.RelayCancel.getDefaultInstance()).build();
  }

  static PeerProto.Frame toCredit(long id, int frames) {
    return newFrame(id)
        .setRelayCredit(PeerProto.RelayCredit.newBuilder().setFrames(frames))
        .build();
  }

  static PeerProto.Frame toRequest(
      long id, RelayedRequest relayed, Duration remaining, int credit) {
    RoutedRequest routed = relayed.routed();
    TrafficRequest request = routed.request();
    PeerProto.RelayRequest.Builder body =
        PeerProto.RelayRequest.newBuilder()
            .setId(request.id())
            .setMethod(request.method().name())
            .setUri(request.uri())
            .setHost(request.host())
            .setService(routed.service().value())
            .setRoute(toRoute(routed.route()))
            .setConfigurationVersion(routed.configurationVersion())
            .setRemainingMs(toMillis(remaining))
            .setMaxAttempts(relayed.maxAttempts())
            .setBodyBytes(routed.body().getLength())
            .setCredit(credit)
            .setRank(routed.rank().value());
    for (Map.Entry<String, String> header : request.headers()) {
      // The request is authorized already, and the key must not spread.
      if (!HttpHeaderNames.AUTHORIZATION.contentEqualsIgnoreCase(header.getKey())) {
        body.addHeaders(toHeader(header));
      }
    }
    request.deadline().ifPresent(d -> body.setDeadlineMs(toMillis(d)));
    request.prompt().ifPresent(p -> body.setPrompt(toPrompt(p)));
    request.lastEventId().ifPresent(body::setCallerEventId);
    routed.account().ifPresent(body::setAccount);
    relayed.lastEventId().ifPresent(body::setLastEventId);
    relayed.excludedTargets().forEach(t -> body.addExcludedTargets(t.value()));
    return newFrame(id).setRelayRequest(body).build();
  }

  /**
   * Converts a request.
   *
   * @param message the message of the request, not null
   * @param body the complete body, not null
   * @param nowNanos the current reading of the monotonic clock
   * @param listener learns at which targets the request is tried, not null
   * @return the request, whose timeout is the remaining time, never null
   */
  static RelayedRequest fromRequest(
      PeerProto.RelayRequest message, HeldBody body, long nowNanos, RelayListener listener) {
    Duration remaining = toDuration(message.getRemainingMs());
    TrafficRequest request =
        new TrafficRequest(
            message.getId(),
            HttpMethod.valueOf(message.getMethod()),
            message.getUri(),
            message.getHost(),
            fromHeaders(message.getHeadersList()),
            Optional.empty(),
            message.hasDeadlineMs()
                ? Optional.of(toDuration(message.getDeadlineMs()))
                : Optional.empty(),
            message.hasPrompt() ? Optional.of(fromPrompt(message.getPrompt())) : Optional.empty(),
            message.hasCallerEventId()
                ? OptionalLong.of(message.getCallerEventId())
                : OptionalLong.empty());
    Route route = fromRoute(message.getRoute());
    RoutedRequest routed =
        new RoutedRequest(
            request,
            body,
            route,
            new ServiceName(message.getService()),
            message.hasAccount() ? Optional.of(message.getAccount()) : Optional.empty(),
            message.hasRank() ? new Rank(message.getRank()) : Rank.of(route, Optional.empty()),
            message.getConfigurationVersion(),
            nowNanos,
            remaining,
            CallerLink.none());
    return new RelayedRequest(
        routed,
        remaining,
        message.hasLastEventId() ? OptionalLong.of(message.getLastEventId()) : OptionalLong.empty(),
        message.getMaxAttempts(),
        message.getExcludedTargetsList().stream().map(InstanceId::new).collect(Collectors.toSet()),
        listener,
        () -> true);
  }

  /** Copies the part of a body that starts at an index into a frame; empty if it is closed. */
  static Optional<PeerProto.Frame> toBodyPart(long id, HeldBody body, int start) {
    int length = Math.min(MAX_PART_BYTES, body.getLength() - start);
    return body.copyBytes(start, length)
        .map(UnsafeByteOperations::unsafeWrap)
        .map(part -> PeerProto.RelayBody.newBuilder().setBytes(part))
        .map(part -> newFrame(id).setRelayBody(part).build());
  }

  /** Splits a chunk of a response body into frames, without copying it. */
  static List<PeerProto.Frame> toChunks(long id, int firstSequence, byte[] bytes) {
    List<PeerProto.Frame> frames = new ArrayList<>();
    for (ByteString part : split(bytes)) {
      PeerProto.RelayChunk.Builder chunk =
          PeerProto.RelayChunk.newBuilder()
              .setSequence(firstSequence + frames.size())
              .setBytes(part);
      frames.add(newFrame(id).setRelayChunk(chunk).build());
    }
    return frames;
  }

  static PeerProto.Frame toHead(long id, int sequence, TargetAnswer answer) {
    PeerProto.RelayHead.Builder body =
        PeerProto.RelayHead.newBuilder()
            .setSequence(sequence)
            .setStatus(answer.status())
            .setIsSigned(answer.isSigned())
            .setIsNotRun(answer.isNotRun());
    for (Map.Entry<String, String> header : answer.headers()) {
      body.addHeaders(toHeader(header));
    }
    answer.requestId().ifPresent(body::setRequestId);
    answer.requestLimit().ifPresent(body::setRequestLimit);
    answer
        .load()
        .ifPresent(
            load ->
                body.setLoad(
                    PeerProto.RelayLoad.newBuilder()
                        .setRunning(load.running())
                        .setWaiting(load.waiting())
                        .setSlots(load.slots())));
    return newFrame(id).setRelayHead(body).build();
  }

  /**
   * Converts a head. Entries of earlier versions pass on any status of a target, and heads that
   * begin with that of another response.
   */
  static TargetAnswer fromHead(PeerProto.RelayHead body) {
    if (!StatusLineUtils.isFinalStatus(body.getStatus())) {
      throw new IllegalArgumentException("the response has the status " + body.getStatus());
    }
    HttpHeaders headers = fromHeaders(body.getHeadersList());
    if (StatusLineUtils.containsStatusLine(headers)) {
      throw new IllegalArgumentException("a header of the response contains a status line");
    }
    PeerProto.RelayLoad load = body.getLoad();
    return new TargetAnswer(
        body.getStatus(),
        headers,
        body.hasRequestId() ? Optional.of(body.getRequestId()) : Optional.empty(),
        body.getIsSigned(),
        body.getIsNotRun(),
        body.hasLoad()
            ? Optional.of(new LoadSample(load.getRunning(), load.getWaiting(), load.getSlots()))
            : Optional.empty(),
        body.hasRequestLimit()
            ? OptionalDouble.of(body.getRequestLimit())
            : OptionalDouble.empty());
  }

  static PeerProto.Frame toEnd(long id, int sequence) {
    return newFrame(id).setRelayEnd(PeerProto.RelayEnd.newBuilder().setSequence(sequence)).build();
  }

  static PeerProto.Frame toFailure(long id, ForwardException error) {
    String prefix = error.getStep() + " at " + error.getPeer() + ": ";
    String message = error.getMessage();
    PeerProto.RelayOutcome outcome =
        switch (error.getOutcome()) {
          case NOT_RUN -> PeerProto.RelayOutcome.NOT_RUN;
          case RAN -> PeerProto.RelayOutcome.RAN;
          case UNKNOWN -> PeerProto.RelayOutcome.UNKNOWN;
        };
    PeerProto.RelayFailure.Builder body =
        PeerProto.RelayFailure.newBuilder()
            .setStep(shorten(error.getStep()))
            .setPeer(shorten(error.getPeer()))
            .setMessage(
                shorten(message.startsWith(prefix) ? message.substring(prefix.length()) : message))
            .setOutcome(outcome)
            .setRetryAfterMs(toMillis(error.getRetryAfter()))
            .setIsTimeout(error.isTimeout());
    return newFrame(id).setRelayFailure(body).build();
  }

  /** Converts a failure; an outcome that this version doesn't know counts as unknown. */
  static ForwardException fromFailure(PeerProto.RelayFailure body) {
    Outcome outcome =
        switch (body.getOutcome()) {
          case NOT_RUN -> Outcome.NOT_RUN;
          case RAN -> Outcome.RAN;
          default -> Outcome.UNKNOWN;
        };
    return new ForwardException(
        body.getStep(),
        body.getPeer(),
        body.getMessage(),
        outcome,
        toDuration(body.getRetryAfterMs()),
        body.getIsTimeout());
  }

  private static PeerProto.Frame.Builder newFrame(long id) {
    return PeerProto.Frame.newBuilder().setRequest(id);
  }

  private static PeerProto.RelayHeader toHeader(Map.Entry<String, String> header) {
    return PeerProto.RelayHeader.newBuilder()
        .setName(header.getKey())
        .setValue(header.getValue())
        .build();
  }

  /** Converts headers and checks them, since they are written to another connection later. */
  private static HttpHeaders fromHeaders(List<PeerProto.RelayHeader> headers) {
    HttpHeaders result = new DefaultHttpHeaders();
    headers.forEach(h -> result.add(h.getName(), h.getValue()));
    return result;
  }

  private static PeerProto.RelayPrompt toPrompt(PromptDescriptor prompt) {
    PeerProto.RelayPrompt.Builder message =
        PeerProto.RelayPrompt.newBuilder()
            .setModel(prompt.model())
            .setPromptTokens(prompt.promptTokens())
            .setMaxAnswerTokens(prompt.maxAnswerTokens())
            .addAllSharedParts(prompt.sharedParts());
    prompt.estimatedAnswerTokens().ifPresent(message::setEstimatedAnswerTokens);
    return message.build();
  }

  private static PromptDescriptor fromPrompt(PeerProto.RelayPrompt prompt) {
    return new PromptDescriptor(
        prompt.getModel(),
        prompt.getPromptTokens(),
        prompt.getMaxAnswerTokens(),
        prompt.hasEstimatedAnswerTokens()
            ? OptionalInt.of(prompt.getEstimatedAnswerTokens())
            : OptionalInt.empty(),
        prompt.getSharedPartsList());
  }

  private static PeerProto.RelayRoute toRoute(Route route) {
    PeerProto.RelayKind kind =
        switch (route.kind()) {
          case IDEMPOTENT -> PeerProto.RelayKind.IDEMPOTENT;
          case NON_IDEMPOTENT -> PeerProto.RelayKind.NON_IDEMPOTENT;
          case STREAM -> PeerProto.RelayKind.STREAM;
        };
    PeerProto.RelayRoute.Builder body =
        PeerProto.RelayRoute.newBuilder()
            .setName(route.name())
            .setHost(route.host())
            .setPrefix(route.prefix())
            .setKind(kind)
            .setTimeoutMs(toMillis(route.timeout()))
            .setLatencyTargetMs(toMillis(route.latencyTarget()))
            .setPriority(route.priority())
            .setMaxAttempts(route.maxAttempts())
            .setIsPublic(route.isPublic())
            .setIsResumable(route.isResumable());
    for (WeightedService service : route.services()) {
      body.addServices(
          PeerProto.RelayService.newBuilder()
              .setName(service.service().value())
              .setWeight(service.weight()));
    }
    return body.build();
  }

  private static Route fromRoute(PeerProto.RelayRoute route) {
    RequestKind kind =
        switch (route.getKind()) {
          case IDEMPOTENT -> RequestKind.IDEMPOTENT;
          case NON_IDEMPOTENT -> RequestKind.NON_IDEMPOTENT;
          case STREAM -> RequestKind.STREAM;
          default ->
              throw new IllegalArgumentException("unknown kind of route " + route.getKindValue());
        };
    return new Route(
        route.getName(),
        route.getHost(),
        route.getPrefix(),
        kind,
        toDuration(route.getTimeoutMs()),
        toDuration(route.getLatencyTargetMs()),
        route.getPriority(),
        route.getServicesList().stream()
            .map(s -> new WeightedService(new ServiceName(s.getName()), s.getWeight()))
            .toList(),
        route.getMaxAttempts(),
        route.getIsPublic(),
        route.getIsResumable());
  }

  private static List<ByteString> split(byte[] bytes) {
    List<ByteString> parts = new ArrayList<>();
    for (int start = 0; start < bytes.length; start += MAX_PART_BYTES) {
      int length = Math.min(MAX_PART_BYTES, bytes.length - start);
      parts.add(UnsafeByteOperations.unsafeWrap(bytes, start, length));
    }
    return parts;
  }

  private static long toMillis(Duration duration) {
    return Math.max(0, Math.min(MAX_MILLIS, duration.toMillis()));
  }

  private static Duration toDuration(long millis) {
    if (millis < 0 || millis > MAX_MILLIS) {
      throw new IllegalArgumentException("milliseconds are out of range: " + millis);
    }
    return Duration.ofMillis(millis);
  }

  private static String shorten(String text) {
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
  }
}
