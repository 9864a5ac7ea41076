package io.fireflyshed.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.process.CallerLoad.OrderResult;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests nine entries in three availability zones, killed, paused and replaced under load. */
public class WholeSystemTest {

  private static final String KEY = "whole-key";
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int ENTRIES_PER_ZONE = 3;
  private static final int CALLERS = 6;
  private static final int MAX_ORDER_ATTEMPTS = 3;
  private static final int ROUNDS_BETWEEN_FAULTS = 30;
  private static final int MAX_POLLS = 600;
  private static final long POLL_MILLIS = 100;

  private final HttpClient client = HttpClient.newHttpClient();

  private static DaemonProcess newEntry(int platform, String zone) throws IOException {
    return new DaemonProcess(
        "serve",
        "--listen",
        "127.0.0.1:0",
        "--platform",
        "127.0.0.1:" + platform,
        "--zone",
        zone,
        "--model-service",
        "cards:cards-1:2:2",
        "--account",
        "whole:" + KEY,
        "--probe-interval",
        "200ms",
        "--drain-delay",
        "200ms",
        "--drain-timeout",
        "10s");
  }

  private static List<DaemonProcess> startEntries(int platform) throws Exception {
    ExecutorService starters = Executors.newFixedThreadPool(ZONES.size() * ENTRIES_PER_ZONE);
    try {
      List<Future<DaemonProcess>> startedEntries = new ArrayList<>();
      for (String zone : ZONES) {
        for (int i = 0; i < ENTRIES_PER_ZONE; i++) {
          Callable<DaemonProcess> start = () -> newEntry(platform, zone);
          startedEntries.add(starters.submit(start));
        }
      }
      List<DaemonProcess> entries = new CopyOnWriteArrayList<>();
      for (Future<DaemonProcess> entry : startedEntries) {
        entries.add(entry.get());
      }
      return entries;
    } finally {
      starters.shutdown();
    }
  }

  @Test(timeOut = 240_000)
  public void guaranteesHoldWhileProcessesAndTargetsFail() throws Exception {
    try (DaemonProcess site =
        new DaemonProcess("standins", "--port", "0", "--domains", "2", "--instances", "4")) {
      List<DaemonProcess> entries = startEntries(site.getPort());
      CallerLoad load = new CallerLoad(KEY);
      try {
        String expected = awaitText(load, entries);
        runUnderFaults(site, entries, load, expected);
        checkGuarantees(load, entries);
      } finally {
        entries.forEach(DaemonProcess::close);
      }
    }
  }

  private static String awaitText(CallerLoad load, List<DaemonProcess> entries) throws Exception {
    String expected = "";
    for (DaemonProcess entry : entries) {
      String text = "";
      for (int i = 0; i < MAX_POLLS && text.isEmpty(); i++) {
        text = load.requestText(entry.getPort(), "a card");
        Thread.sleep(text.isEmpty() ? POLL_MILLIS : 0);
      }
      assertTrue(expected.isEmpty() || expected.equals(text), text);
      expected = text;
    }
    assertEquals(expected.split(" ").length, CallerLoad.TOKENS + 1);
    return expected;
  }

  private void runUnderFaults(
      DaemonProcess site, List<DaemonProcess> entries, CallerLoad load, String expected)
      throws Exception {
    AtomicBoolean isRunning = new AtomicBoolean(true);
    AtomicInteger rounds = new AtomicInteger();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<Future<Integer>> callerResults = new ArrayList<>();
    for (int c = 0; c < CALLERS; c++) {
      callerResults.add(
          callers.submit(
              () -> {
                int sent = 0;
                for (; isRunning.get(); sent++) {
                  int round = rounds.incrementAndGet();
                  load.stream(getPort(entries, round), "a card", expected);
                  AtomicInteger next = new AtomicInteger(round);
                  load.order(
                      () -> getPort(entries, next.getAndIncrement()),
                      "order-" + round,
                      MAX_ORDER_ATTEMPTS);
                }
                return sent;
              }));
    }
    try {
      injectFaults(site, entries, rounds);
    } finally {
      isRunning.set(false);
      callers.shutdown();
    }
    for (Future<Integer> caller : callerResults) {
      assertTrue(caller.get() > 0);
    }
    assertTrue(callers.awaitTermination(1, TimeUnit.MINUTES));
  }

  private void injectFaults(DaemonProcess site, List<DaemonProcess> entries, AtomicInteger rounds)
      throws Exception {
    awaitRounds(rounds);
    entries.get(0).kill();
    awaitRounds(rounds);
    entries.set(0, newEntry(site.getPort(), ZONES.get(0)));
    entries.get(4).pause();
    awaitRounds(rounds);
    entries.get(4).resume();
    post(site.getPort(), "/faults/down");
    awaitRounds(rounds);
    post(site.getPort(), "/faults/lost-answer");
    awaitRounds(rounds);
    post(site.getPort(), "/faults/none");
    int engine = findEnginePort(site.getPort());
    post(engine, "/faults/dead");
    awaitRounds(rounds);
    post(engine, "/faults/none");
    entries.get(8).stop();
    awaitRounds(rounds);
  }

  private static void awaitRounds(AtomicInteger rounds) throws InterruptedException {
    int minRounds = rounds.get() + ROUNDS_BETWEEN_FAULTS;
    for (int i = 0; i < MAX_POLLS && rounds.get() < minRounds; i++) {
      Thread.sleep(POLL_MILLIS);
    }
    assertTrue(rounds.get() >= minRounds, "callers made no progress");
  }

  private static void checkGuarantees(CallerLoad load, List<DaemonProcess> entries)
      throws IOException, InterruptedException {
    assertEquals(load.getWrongStreams(), List.of());
    assertTrue(load.getCompleteStreams() > load.getFailedStreams());
    int placed = 0;
    for (Map.Entry<String, OrderResult> order : load.getOrders().entrySet()) {
      int runs = load.getRuns(entries.get(1).getPort(), order.getKey());
      switch (order.getValue()) {
        case PLACED -> assertEquals(runs, 1, order.getKey());
        case NOT_RUN -> assertEquals(runs, 0, order.getKey());
        case UNKNOWN -> assertTrue(runs == 0 || runs == 1, order.getKey() + " ran " + runs);
        default -> throw new AssertionError(order);
      }
      placed += order.getValue() == OrderResult.PLACED ? 1 : 0;
    }
    assertTrue(placed > ROUNDS_BETWEEN_FAULTS, "placed " + placed);
  }

  private static int getPort(List<DaemonProcess> entries, int round) {
    return entries.get(Math.floorMod(round, entries.size())).getPort();
  }

  private int findEnginePort(int platform) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + platform + "/instances")).build();
    String body = client.send(request, BodyHandlers.ofString()).body();
    for (JsonNode instance : JsonUtils.parse(body).path("instances")) {
      if (!instance.has("service")) {
        return instance.path("port").asInt();
      }
    }
    throw new AssertionError("no engine is listed");
  }

  private void post(int port, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .POST(BodyPublishers.noBody())
            .build();
    assertEquals(client.send(request, BodyHandlers.discarding()).statusCode(), 204);
  }
}
