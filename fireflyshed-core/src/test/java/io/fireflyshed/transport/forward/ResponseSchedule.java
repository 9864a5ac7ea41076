package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Sends one request, directly or through another entry, to targets whose responses are drawn from a
 * seed, in virtual time, and compares what the caller got with what the targets sent.
 */
final class ResponseSchedule {

  static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final int MAX_BYTES = 4 << 20;
  private static final int MAX_PARTS = 40;
  private static final String ID = "request";

  /** Lists how a response ends. */
  private enum End {
    WHOLE,
    LOST,
    SILENT
  }

  /** Lists what befalls responses between the entries and their targets. */
  enum Defect {
    NONE,
    /** A response that breaks off ends as if it were complete. */
    CUT_TAKEN_AS_END,
    /** A part of a response is left out. */
    PART_LEFT_OUT
  }

  /** What a target sends in response to one attempt. */
  private static final class Answer {
    private final byte[] body;
    private final List<byte[]> parts = new ArrayList<>();
    private final List<Duration> gaps = new ArrayList<>();
    private End end = End.WHOLE;
    private boolean hasLength;

    Answer(byte[] body) {
      this.body = body;
    }

    Duration getTime() {
      return gaps.stream().reduce(Duration.ZERO, Duration::plus);
    }

    @Override
    public String toString() {
      return body.length
          + " bytes in "
          + parts.size()
          + " parts and "
          + getTime().toMillis()
          + " ms, "
          + end
          + (hasLength ? ", with a length" : "");
    }
  }

  /** Tells an entry whether it reaches its targets. */
  private record FixedReachability(boolean isIsolated) implements Reachability {
    @Override
    public void onFailure(InstanceId target) {}

    @Override
    public void onSilent(InstanceId target) {}

    @Override
    public void onSignOfLife() {}

    @Override
    public boolean isImpaired() {
      return isIsolated;
    }
  }

  private final long seed;
  private final Defect defect;
  private final UniformRandomProvider random;
  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<Answer> answers = new ArrayList<>();
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private RequestKind kind;
  private boolean isRelayed;
  private Forwarder other;
  private int running;
  private int heads;
  private boolean isComplete;
  private Throwable error;

  ResponseSchedule(long seed, Defect defect) {
    this.seed = seed;
    this.defect = defect;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Sends the request and returns what is wrong with its response. */
  List<String> run() {
    VirtualTimeScheduler.set(scheduler);
    try {
      kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
      isRelayed = random.nextBoolean();
      other = newForwarder(Reachability.always(), RequestRelay.none());
      Forwarder isolated = newForwarder(new FixedReachability(true), new OtherEntry());
      Route route = ForwardFixtures.newRoute(kind, kind == RequestKind.STREAM, TIMEOUT);
      (isRelayed ? isolated : other)
          .forward(ForwardFixtures.newRequest(ID, route, nanoTime()))
          .subscribe(this::onPart, e -> error = e, () -> isComplete = true);
      scheduler.advanceTimeBy(TIMEOUT.multipliedBy(2));
      other.stop();
      isolated.stop();
    } finally {
      VirtualTimeScheduler.reset();
    }
    return check();
  }

  private Forwarder newForwarder(Reachability reachability, RequestRelay relay) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    Forwarder forwarder =
        new Forwarder(
            ForwardFixtures.newView(
                List.of(ForwardFixtures.newTarget("one"), ForwardFixtures.newTarget("two")),
                () -> true),
            new TargetPlacer(
                placement, ForwardFixtures.ZONE, random, ForwardFixtures.newSchedule()),
            new StallDetector(placement),
            this::send,
            new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 10),
            ForwardFixtures.newCrashGuard(),
            this::nanoTime,
            stalledTarget -> {},
            new SimpleMeterRegistry(),
            reachability,
            relay,
            ByteBudget.unlimited(this::nanoTime));
    forwarder.start();
    return forwarder;
  }

  /** Passes requests to the entry that reaches the targets. */
  private final class OtherEntry implements RequestRelay {
    @Override
    public Flux<ResponsePart> relay(RelayedRequest request) {
      return other.forwardRelayed(request);
    }

    @Override
    public boolean isAvailable() {
      return true;
    }
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private void onPart(ResponsePart part) {
    if (part instanceof ResponsePart.BodyChunk chunk) {
      received.writeBytes(chunk.bytes());
    } else {
      heads++;
    }
  }

  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    Answer answer =
        kind == RequestKind.STREAM ? newEvents(lastEventId.orElse(0)) : newResponse(answers.size());
    answers.add(answer);
    HttpHeaders headers = new DefaultHttpHeaders();
    if (answer.hasLength) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body.length);
    }
    Flux<ResponsePart> parts = Flux.just(ForwardFixtures.newHead(ID, 200, headers));
    int leftOut = defect == Defect.PART_LEFT_OUT ? answer.parts.size() / 2 : -1;
    for (int i = 0; i < answer.parts.size(); i++) {
      byte[] bytes = answer.parts.get(i);
      Duration gap = answer.gaps.get(i);
      if (i != leftOut) {
        parts =
            parts.concatWith(
                Mono.delay(gap).map(t -> (ResponsePart) new ResponsePart.BodyChunk(bytes)));
      }
    }
    End end = defect == Defect.CUT_TAKEN_AS_END ? End.WHOLE : answer.end;
    Flux<ResponsePart> last =
        switch (end) {
          case WHOLE -> Flux.empty();
          case LOST -> Flux.error(new ConnectionLostException("forward", "peer", "reset", null));
          case SILENT -> Flux.never();
        };
    return parts.concatWith(last).doOnSubscribe(s -> running++).doFinally(s -> running--);
  }

  /** Draws a response whose bytes depend on the attempt. */
  private Answer newResponse(int attempt) {
    byte[] body = new byte[drawSize()];
    Arrays.fill(body, (byte) ('a' + attempt));
    for (int i = 0; i < body.length; i += 1 + random.nextInt(1000)) {
      body[i] = (byte) i;
    }
    Answer answer = new Answer(body);
    answer.hasLength = random.nextBoolean();
    answer.end = drawEnd();
    int sent = answer.end == End.WHOLE ? body.length : random.nextInt(body.length);
    int parts = Math.min(sent, 1 + random.nextInt(MAX_PARTS));
    for (int i = 0; i < parts; i++) {
      int start = (int) ((long) sent * i / parts);
      int end = (int) ((long) sent * (i + 1) / parts);
      answer.parts.add(Arrays.copyOfRange(body, start, end));
    }
    drawGaps(answer);
    return answer;
  }

  /** Draws the events of a stream after one of them. */
  private Answer newEvents(long lastEventId) {
    StringBuilder body = new StringBuilder();
    for (long id = lastEventId + 1; id <= getEventCount(); id++) {
      body.append(newEvent(id));
    }
    Answer answer = new Answer(body.toString().getBytes(StandardCharsets.UTF_8));
    answer.end = lastEventId == getEventCount() ? End.WHOLE : drawEnd();
    long events =
        answer.end == End.WHOLE
            ? getEventCount() - lastEventId
            : random.nextLong(getEventCount() - lastEventId);
    for (long id = lastEventId + 1; id <= lastEventId + events; id++) {
      answer.parts.add(newEvent(id).getBytes(StandardCharsets.UTF_8));
    }
    if (answer.end == End.LOST && random.nextBoolean()) {
      answer.parts.add("id: 7\nda".getBytes(StandardCharsets.UTF_8));
    }
    drawGaps(answer);
    return answer;
  }

  private long getEventCount() {
    return 3 + seed % 20;
  }

  private static String newEvent(long id) {
    return "id: " + id + "\ndata: event " + id + "\n\n";
  }

  /** Draws a size of which all magnitudes are as likely. */
  private int drawSize() {
    int bits = random.nextInt(23);
    return Math.min(MAX_BYTES, (1 << bits) + random.nextInt(1 << bits));
  }

  private End drawEnd() {
    int draw = random.nextInt(4);
    return draw < 2 ? End.WHOLE : draw == 2 ? End.LOST : End.SILENT;
  }

  private void drawGaps(Answer answer) {
    int maxMillis = 1 + (int) Math.pow(2, random.nextInt(9));
    for (int i = 0; i < answer.parts.size(); i++) {
      answer.gaps.add(Duration.ofMillis(random.nextInt(maxMillis)));
    }
  }

  private List<String> check() {
    List<String> violations = new ArrayList<>();
    byte[] body = received.toByteArray();
    boolean isBroken = error instanceof ForwardException;
    if (isComplete == isBroken) {
      violations.add("the response neither ends nor fails, or fails with " + error);
    }
    if (heads > 1 || (heads == 0 && (isComplete || body.length > 0))) {
      violations.add(heads + " heads");
    }
    if (isComplete && !isWhole(body)) {
      violations.add("a response of " + body.length + " bytes looks whole");
    }
    if (isBroken && !isPrefix(body)) {
      violations.add("the " + body.length + " bytes before the error are those of no response");
    }
    if (isBroken && isServable()) {
      violations.add("a whole response was not passed on: " + error.getMessage());
    }
    if (kind == RequestKind.NON_IDEMPOTENT && answers.size() > 1) {
      violations.add(answers.size() + " attempts of a one-time request");
    }
    if (running != 0) {
      violations.add(running + " attempts still run");
    }
    return violations;
  }

  private boolean isWhole(byte[] body) {
    return kind == RequestKind.STREAM
        ? answers.get(answers.size() - 1).end == End.WHOLE && Arrays.equals(body, getAllEvents())
        : answers.stream().anyMatch(a -> a.end == End.WHOLE && Arrays.equals(a.body, body));
  }

  private boolean isPrefix(byte[] body) {
    return kind == RequestKind.STREAM
        ? startsWith(getAllEvents(), body)
        : body.length == 0 || answers.stream().anyMatch(a -> startsWith(a.body, body));
  }

  private byte[] getAllEvents() {
    StringBuilder events = new StringBuilder();
    for (long id = 1; id <= getEventCount(); id++) {
      events.append(newEvent(id));
    }
    return events.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static boolean startsWith(byte[] whole, byte[] start) {
    return start.length <= whole.length
        && Arrays.equals(start, 0, start.length, whole, 0, start.length);
  }

  /** Tests whether the first target sends a whole response in the time of the first attempt. */
  private boolean isServable() {
    Answer first = answers.get(0);
    if (first.end != End.WHOLE || first.getTime().compareTo(TIMEOUT) >= 0) {
      return false;
    }
    return kind != RequestKind.IDEMPOTENT
        || first.getTime().compareTo(getAttemptTime()) < 0
        || isPassedOnInTime(first);
  }

  private static Duration getAttemptTime() {
    return ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT)
        .latencyTarget()
        .multipliedBy(3);
  }

  private static boolean isPassedOnInTime(Answer answer) {
    Duration time = Duration.ZERO;
    long bytes = 0;
    for (int i = 0; i < answer.parts.size(); i++) {
      time = time.plus(answer.gaps.get(i));
      bytes += answer.parts.get(i).length;
      if (time.compareTo(getAttemptTime()) < 0 && bytes > HeldResponse.MAX_HELD_BYTES) {
        return true;
      }
    }
    return false;
  }

  @Override
  public String toString() {
    return kind + (isRelayed ? " through another entry, " : " directly, ") + answers;
  }
}
