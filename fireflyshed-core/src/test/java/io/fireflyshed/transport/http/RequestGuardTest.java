package io.fireflyshed.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.traffic.ClientLimits;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Tests {@link RequestGuard} and {@link RequestGuards} below a server on loopback. */
public class RequestGuardTest {

  private static final int MAX_HEAD_BYTES = 4096;
  private static final int MAX_CONNECTIONS = 12;
  private static final long CAPACITY = 2 << 20;
  private static final Duration HEAD_TIMEOUT = Duration.ofMillis(300);
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final Pattern ANSWER = Pattern.compile("id=(c\\d+-\\d+);(\\d+)");
  private static final int FUZZ_SEEDS = 150;

  private final AtomicLong clockNanos = new AtomicLong();
  private ByteBudget budget;
  private SimpleMeterRegistry metrics;
  private Sinks.Empty<Void> release;
  private final List<String> ids = new CopyOnWriteArrayList<>();
  private DisposableServer server;

  /** Starts a server that answers with the id of a request and the length of its body. */
  @BeforeMethod
  public void setUp() {
    budget = new ByteBudget(CAPACITY, MonotonicClock.system(), ByteBudget.Listener.none());
    metrics = new SimpleMeterRegistry();
    release = Sinks.empty();
    ids.clear();
    ClientLimits limits =
        new ClientLimits(MAX_HEAD_BYTES, 1 << 20, HEAD_TIMEOUT, Duration.ofSeconds(15));
    RequestGuards guards =
        new RequestGuards(
            () -> Optional.of(limits), budget, MonotonicClock.system(), MAX_CONNECTIONS, metrics);
    server =
        guards.guard(HttpServer.create().host("127.0.0.1").port(0)).handle(this::answer).bindNow();
  }

  /** Checks that nothing is held any more and stops the server. */
  @AfterMethod(alwaysRun = true)
  public void tearDown(java.lang.reflect.Method test) throws Exception {
    release.tryEmitEmpty();
    long end = System.nanoTime() + WAIT.toNanos();
    while (budget.getUsed() > 0 && System.nanoTime() - end < 0) {
      Thread.sleep(5);
    }
    long used = budget.getUsed();
    server.disposeNow();
    assertEquals(used, 0, test.getName());
  }

  private Mono<Void> answer(HttpServerRequest request, HttpServerResponse response) {
    String id = String.valueOf(request.requestHeaders().get("x-id"));
    ids.add(id);
    Mono<Void> due = request.uri().equals("/slow") ? release.asMono() : Mono.empty();
    return request
        .receive()
        .asByteArray()
        .map(part -> part.length)
        .reduce(0, Integer::sum)
        .delayUntil(length -> due.thenReturn(0))
        .flatMap(length -> response.sendString(Mono.just("id=" + id + ";" + length)).then());
  }

  private Mono<Void> answerAtLength(HttpServerRequest request, HttpServerResponse response) {
    byte[] body = new byte[request.uri().equals("/long") ? 1 << 20 : 1];
    return response.sendByteArray(Mono.just(body)).then();
  }

  private static boolean isAnswered(int port) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      send(socket, newRequest("/", "c0-0", "Connection: close\r\n"));
      return readAll(socket).startsWith("HTTP/1.1 200 ");
    } catch (IOException e) {
      return false;
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + WAIT.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() - end < 0) {
      Thread.sleep(5);
    }
    assertTrue(condition.getAsBoolean());
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", server.port());
    socket.setSoTimeout((int) WAIT.toMillis());
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads up to the end of the connection. */
  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static String newRequest(String path, String id, String headers) {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Id: " + id + "\r\n" + headers + "\r\n";
  }

  private double countClosed(RequestGuards.Reason reason) {
    return metrics.counter("fireflyshed.callers.closed", "reason", reason.name()).count();
  }

  /** Sends text, checks the start of the answer and the reason for which it was refused. */
  private void assertRefused(String text, String answer, RequestGuards.Reason reason)
      throws IOException {
    try (Socket socket = connect()) {
      send(socket, text);
      String received = readAll(socket);
      assertTrue(received.startsWith(answer), received);
    }
    assertEquals(countClosed(reason), 1.0);
    assertEquals(ids, List.of());
  }

  @Test
  public void headOverTheLimitIsRefused() throws IOException {
    String text = newRequest("/", "c0-0", "X-Long: " + "x".repeat(6000) + "\r\n");
    assertRefused(text, "HTTP/1.1 431 ", RequestGuards.Reason.LARGE_HEAD);
  }

  @Test
  public void emptyLinesAreRefused() throws IOException {
    assertRefused("\r\n".repeat(600), "HTTP/1.1 431 ", RequestGuards.Reason.EMPTY_LINES);
  }

  @Test
  public void headThatStopsIsRefused() throws IOException {
    assertRefused("GET / HTTP/1.1\r\nA: b", "HTTP/1.1 408 ", RequestGuards.Reason.SLOW_HEAD);
  }

  @Test
  public void largestHeadIsServed() throws IOException {
    String request = newRequest("/", "c0-0", "Connection: close\r\n");
    String lines = "a:\r\n".repeat((MAX_HEAD_BYTES - request.length()) / 4);
    try (Socket socket = connect()) {
      send(socket, "\r\n\r\n" + newRequest("/", "c0-0", "Connection: close\r\n" + lines));
      String received = readAll(socket);
      assertTrue(received.endsWith("id=c0-0;0"), received + metrics.getMetersAsString());
    }
  }

  @Test
  public void requestForWhichThereIsNoRoomIsRefusedAndThoseBeforeAnswered() throws Exception {
    String lines = "a:\r\n".repeat(900);
    try (Socket socket = connect()) {
      send(socket, newRequest("/slow", "c0-0", lines));
      await(() -> ids.size() == 1);
      send(socket, newRequest("/", "c0-1", lines));
      send(socket, newRequest("/", "c0-2", lines) + newRequest("/", "c0-3", lines));
      await(() -> countClosed(RequestGuards.Reason.NO_ROOM) == 1);
      release.tryEmitEmpty();
      String received = readAll(socket);
      assertTrue(received.contains("id=c0-0;0"), received);
      assertTrue(received.contains("HTTP/1.1 503 "), received);
      assertTrue(received.contains("Retry-After: "), received);
    }
  }

  @Test
  public void requestsSentAheadAreAnsweredInOrderAndFewAreDecoded() throws Exception {
    StringBuilder text = new StringBuilder(newRequest("/slow", "c0-0", ""));
    StringBuilder expected = new StringBuilder("c0-0 ");
    for (int i = 1; i <= 300; i++) {
      text.append(newRequest("/", "c0-" + i, i == 300 ? "Connection: close\r\n" : ""));
      expected.append("c0-").append(i).append(' ');
    }
    try (Socket socket = connect()) {
      send(socket, text.toString());
      await(() -> ids.size() == 1);
      release.tryEmitEmpty();
      StringBuilder answered = new StringBuilder();
      for (Matcher m = ANSWER.matcher(readAll(socket)); m.find(); ) {
        answered.append(m.group(1)).append(' ');
      }
      assertEquals(answered.toString(), expected.toString());
    }
  }

  @Test
  public void connectionsWithRequestsThatWaitAreCounted() throws Exception {
    try (Socket socket = connect()) {
      send(socket, newRequest("/slow", "c0-0", "") + newRequest("/", "c0-1", "").repeat(100));
      await(() -> countWaiting(metrics) == 1);
      release.tryEmitEmpty();
      await(() -> countWaiting(metrics) == 0);
    }
  }

  @Test
  public void connectionsWithoutARequestGiveWay() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      sockets.add(connect());
    }
    await(() -> countClosed(RequestGuards.Reason.CONNECTIONS) >= 2 * MAX_CONNECTIONS);
    try (Socket socket = connect()) {
      send(socket, newRequest("/", "c0-0", "Connection: close\r\n"));
      assertTrue(readAll(socket).endsWith("id=c0-0;0"));
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static double countWaiting(MeterRegistry registry) {
    return registry.get("fireflyshed.connections.waiting").tag("peers", "callers").gauge().value();
  }

  @Test
  public void connectionsWhoseAnswersAreUnreadGiveWay() throws Exception {
    MeterRegistry registry = new SimpleMeterRegistry();
    RequestGuards guards =
        new RequestGuards(Optional::empty, budget, clockNanos::get, MAX_CONNECTIONS, registry);
    DisposableServer other =
        guards
            .guard(HttpServer.create().host("127.0.0.1").port(0))
            .handle(this::answerAtLength)
            .bindNow();
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        sockets.add(new Socket("127.0.0.1", other.port()));
        send(sockets.get(i), newRequest("/long", "c0-0", "").repeat(50));
      }
      await(() -> countWaiting(registry) == MAX_CONNECTIONS);
      await(
          () -> {
            clockNanos.addAndGet(Duration.ofSeconds(1).toNanos());
            return isAnswered(other.port()) && countWaiting(registry) < MAX_CONNECTIONS;
          });
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
      other.disposeNow();
    }
  }

  /** Changes a part of a text at random. */
  private static String mutate(String text, UniformRandomProvider random) {
    int at = random.nextInt(text.length());
    int end = Math.min(text.length(), at + random.nextInt(8));
    String inserted =
        switch (random.nextInt(7)) {
          case 0 -> "\r\n";
          case 1 -> "\n\n";
          case 2 -> String.valueOf((char) random.nextInt(256));
          case 3 -> "Content-Length: " + (random.nextInt(40) - 5) + "\r\n";
          case 4 -> "Transfer-Encoding: chunked\r\n";
          case 5 -> "a:\r\n".repeat(random.nextInt(1500));
          default -> "";
        };
    return text.substring(0, at) + inserted + text.substring(end);
  }

  /** Sends the requests of one caller, some of them changed, in parts of random lengths. */
  private void sendRandomly(int caller, UniformRandomProvider random) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 1 + random.nextInt(60); i++) {
      String id = "c" + caller + "-" + i;
      int length = random.nextInt(2) * random.nextInt(3000);
      boolean isChunked = random.nextBoolean();
      String headers =
          isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n";
      String body = "x\n".repeat(length).substring(0, length);
      String chunks = length == 0 ? "" : Integer.toHexString(length) + "\r\n" + body + "\r\n";
      String request = newRequest("/", id, headers) + (isChunked ? chunks + "0\r\n\r\n" : body);
      text.append(random.nextInt(10) == 0 ? mutate(request, random) : request);
    }
    try (Socket socket = connect()) {
      for (int at = 0; at < text.length(); ) {
        int end = Math.min(text.length(), at + 1 + random.nextInt(5000));
        send(socket, text.substring(at, end));
        at = end;
      }
      socket.shutdownOutput();
      for (Matcher m = ANSWER.matcher(readAll(socket)); m.find(); ) {
        assertTrue(m.group(1).startsWith("c" + caller + "-"), m.group());
      }
    } catch (IOException e) {
      // The server closes a connection that it can't decode, which may be seen as a reset.
      assertTrue(e.getMessage().matches("(?i).*(reset|broken pipe).*"), e.toString());
    }
  }

  @Test
  public void randomRequestsLeaveNothingBehind() throws Exception {
    for (int seed = 0; seed < FUZZ_SEEDS; seed++) {
      sendRandomly(seed, RandomSource.SPLIT_MIX_64.create((long) seed));
    }
    await(() -> budget.getUsed() == 0);
    try (Socket socket = connect()) {
      send(socket, newRequest("/", "c9-9", "Connection: close\r\n"));
      assertTrue(readAll(socket).endsWith("id=c9-9;0"));
    }
  }
}
