package io.fireflyshed.daemon.soak;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.daemon.platform.RawTarget;
import io.fireflyshed.daemon.platform.RawTarget.Request;
import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.standins.fleet.FleetStandIn;
import io.fireflyshed.standins.fleet.StoreStandIn;
import io.fireflyshed.standins.fleet.TargetStandIn;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A target of a plain service and of the model that writes more than the response to a request.
 * Thread safe.
 */
final class StutteringTarget implements AutoCloseable {

  /** Lists what is written beside whole responses. */
  enum Pattern {
    /** The beginning of a second response, a short time after the whole one. */
    BEGINNING_BEHIND,
    /** The beginning of a second response, once the next request was read. */
    BEGINNING_BEFORE_NEXT,
    /** Malformed status lines. */
    STATUS_LINE,
    /** The beginning of a second response, on a connection that is mostly idle. */
    IDLE,
    /** Whole second responses. */
    WHOLE_COPY,
    /** Nothing. */
    NONE
  }

  /** A response as the target recorded it; the status of a malformed one is that of an error. */
  record Answer(String id, int connection, Kind kind, int status, String body) {

    boolean isSuccess() {
      return status == OK;
    }
  }

  private static final List<String> BEGINNINGS =
      List.of(
          "HTTP/1.1 200 OK\r\nDate: ",
          "HTTP/1.1 200 OK\r\nContent-Type: text/pl",
          "HTTP/1.1 200 OK\r\nA:b\r\nC",
          "HTTP/1.1 200 OK\r\nA: b\r\n ",
          "HTTP/1.1 200 OK\r\nX-At",
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r",
          "HTTP/1.1 200 OK",
          "HTTP/1.1 200 ",
          "HTTP/1.1 200",
          "HTTP/1.1 20",
          "HTTP/1.1 ",
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nA: b",
          "HTTP/1.1 102 Processing\r\nA: b",
          "x");

  private static final List<String> MALFORMED_STATUSES =
      List.of(
          "0200", "+200", "00200", " 200", " 0200", "\t200", "000", "099", "20", "2000", "600",
          "999", "-200", "200.0", "200500");

  private static final int OK = 200;
  private static final int ERROR = 500;
  private static final int SLOTS = 18;
  private static final int WORK_MILLIS = 5;
  private static final int ERRORS = 3;
  private static final double STUTTER_PART = 0.4;
  private static final double MALFORMED_PART = 0.15;
  private static final int MAX_DELAY_MILLIS = 60;
  private static final int MAX_LEAD_MILLIS = 20;

  private final String id;
  private final long seed;
  private final Pattern pattern;
  private final RawTarget server;
  private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
  private final Map<Socket, String> pending = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  /** Starts a target on a free port and registers it. */
  StutteringTarget(StoreStandIn store, String id, long seed, Pattern pattern) throws IOException {
    this.id = id;
    this.seed = seed;
    this.pattern = pattern;
    server = new RawTarget(this::answer);
    store.put("servers", id, JsonUtils.toText(newRecord("desk")));
    ObjectNode head = newRecord("models");
    head.putObject("group")
        .put("name", FleetStandIn.MODEL + "." + id)
        .put("epoch", 1)
        .put("rank", 0)
        .put("state", "open");
    store.put("servers", "head-" + id, JsonUtils.toText(head));
  }

  private ObjectNode newRecord(String service) {
    return JsonUtils.getMapper()
        .createObjectNode()
        .put("service", service)
        .put("address", "127.0.0.1:" + server.getPort())
        .put("zone", "a")
        .put("version", "v1")
        .put("slots", SLOTS)
        .put("state", "ready")
        .put("born", System.currentTimeMillis());
  }

  String getSignature() {
    return "s." + id;
  }

  boolean isSound() {
    return pattern == Pattern.NONE;
  }

  List<Answer> getAnswers() {
    return List.copyOf(answers);
  }

  private void answer(Request request, Socket connection) throws IOException {
    byte[] body = connection.getInputStream().readNBytes(request.getContentLength());
    if (request.getPath().equals(TargetStandIn.HEALTH_PATH)) {
      write(connection, "HTTP/1.1 200 OK\r\nX-Replica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (request.getPath().equals("/api/report")) {
      write(connection, "HTTP/1.1 503 Text\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String requestId = request.getHeader("X-Attempt-Id").orElse("");
    UniformRandomProvider random =
        RandomSource.SPLIT_MIX_64.create(seed * 1000 + (requestId + id).hashCode());
    String beginning = pending.remove(connection);
    if (beginning != null) {
      write(connection, beginning);
      pause(1 + random.nextInt(MAX_LEAD_MILLIS));
    }
    pause(WORK_MILLIS);
    int status = random.nextInt(ERRORS) == 0 ? ERROR : OK;
    String statusText = status + " Text";
    if (pattern == Pattern.STATUS_LINE && random.nextDouble() < MALFORMED_PART) {
      status = ERROR;
      statusText = draw(MALFORMED_STATUSES, random) + " Text";
    }
    Kind kind =
        Stream.of(Kind.values())
            .filter(k -> request.getPath().startsWith(k.getPrefix()))
            .findFirst()
            .orElseThrow();
    String text =
        kind == Kind.STREAM
            ? newEvents(request, requestId)
            : String.join("|", "" + status, id, request.getPath(), new String(body, UTF_8));
    answers.add(new Answer(requestId, request.connection(), kind, status, text));
    write(connection, newResponse(statusText, requestId, text));
    if (random.nextDouble() < STUTTER_PART) {
      stutter(connection, requestId, status, text, random);
    }
  }

  /** Returns the events of a stream after the last one that its caller has. */
  private static String newEvents(Request request, String requestId) {
    int count = Integer.parseInt(request.getPath().replaceFirst(".*events=(\\d+).*", "$1"));
    int last = request.getHeader("Last-Event-Id").map(Integer::parseInt).orElse(0);
    return IntStream.rangeClosed(last + 1, count)
        .mapToObj(i -> "id: " + i + "\ndata: token " + i + " of " + requestId + "\n\n")
        .collect(Collectors.joining());
  }

  private void stutter(
      Socket connection, String requestId, int status, String text, UniformRandomProvider random) {
    int delayMillis = 1 + random.nextInt(MAX_DELAY_MILLIS);
    switch (pattern) {
      case BEGINNING_BEHIND, IDLE ->
          writeLater(connection, drawBeginning(requestId, text, random), delayMillis);
      case BEGINNING_BEFORE_NEXT -> pending.put(connection, drawBeginning(requestId, text, random));
      case WHOLE_COPY -> {
        int copied = random.nextBoolean() ? status : OK + ERROR - status;
        writeLater(connection, newResponse(copied + " Text", requestId, text), delayMillis);
      }
      default -> {}
    }
  }

  private String drawBeginning(String requestId, String text, UniformRandomProvider random) {
    int index = random.nextInt(BEGINNINGS.size() + 1);
    if (index < BEGINNINGS.size()) {
      return BEGINNINGS.get(index);
    }
    String whole = newResponse(OK + " Text", requestId, text);
    return whole.substring(0, 1 + random.nextInt(whole.length() - 1));
  }

  private static <T> T draw(List<T> values, UniformRandomProvider random) {
    return values.get(random.nextInt(values.size()));
  }

  private String newResponse(String statusText, String requestId, String text) {
    return "HTTP/1.1 "
        + statusText
        + "\r\nX-Attempt-Id: "
        + requestId
        + "\r\nX-Replica-Signature: "
        + getSignature()
        + "\r\nContent-Length: "
        + text.length()
        + "\r\n\r\n"
        + text;
  }

  private void writeLater(Socket connection, String text, int delayMillis) {
    timer.schedule(
        () -> {
          write(connection, text);
          return true;
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Writes text as a whole, so that a late one is never within another. */
  private static void write(Socket connection, String text) throws IOException {
    synchronized (connection) {
      RawTarget.write(connection, text);
    }
  }

  private static void pause(int millis) throws InterruptedIOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted while at work");
    }
  }

  @Override
  public void close() throws IOException {
    timer.shutdownNow();
    server.close();
  }
}
