package io.fireflyshed.daemon.process;

import io.fireflyshed.protocol.json.JsonUtils;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Sends streams and orders through entries and records the results. Thread safe. */
final class CallerLoad {

  static final int TOKENS = 60;

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** The combined result of the replies to all attempts of an order. */
  enum OrderResult {
    /** A reply stated that the order was placed. */
    PLACED,
    /** Every reply stated that the order was not run. */
    NOT_RUN,
    /** A reply was missing or did not state whether the order was run. */
    UNKNOWN
  }

  private final HttpClient client = HttpClient.newHttpClient();
  private final String key;
  private final Map<String, OrderResult> orders = new ConcurrentHashMap<>();
  private final List<String> wrongStreams = new CopyOnWriteArrayList<>();
  private final AtomicInteger completeStreams = new AtomicInteger();
  private final AtomicInteger failedStreams = new AtomicInteger();

  CallerLoad(String key) {
    this.key = key;
  }

  Map<String, OrderResult> getOrders() {
    return orders;
  }

  List<String> getWrongStreams() {
    return wrongStreams;
  }

  int getCompleteStreams() {
    return completeStreams.get();
  }

  int getFailedStreams() {
    return failedStreams.get();
  }

  /** Returns the complete text for a prompt, or an empty text if the request fails. */
  String requestText(int port, String prompt) throws IOException, InterruptedException {
    HttpResponse<String> response = client.send(newStream(port, prompt), BodyHandlers.ofString());
    return response.statusCode() == 200 ? readText(response.body()) : "";
  }

  /** Requests a stream and records whether it is complete, reported as failed, or wrong. */
  void stream(int port, String prompt, String expected) throws InterruptedException {
    try {
      HttpResponse<String> response = client.send(newStream(port, prompt), BodyHandlers.ofString());
      String body = response.body();
      if (response.statusCode() != 200 || body.contains("event: error")) {
        failedStreams.incrementAndGet();
      } else if (body.endsWith("data: [DONE]\n\n") && readText(body).equals(expected)) {
        completeStreams.incrementAndGet();
      } else {
        wrongStreams.add(body);
      }
    } catch (IOException e) {
      failedStreams.incrementAndGet();
    }
  }

  /**
   * Sends an order through successive entries, always with the same key, until a reply states that
   * it was placed or the attempts are used up.
   */
  void order(IntSupplier ports, String orderKey, int maxAttempts) throws InterruptedException {
    List<OrderResult> results = new ArrayList<>();
    for (int i = 0; i < maxAttempts && !results.contains(OrderResult.PLACED); i++) {
      results.add(sendOrder(ports.getAsInt(), orderKey));
    }
    orders.put(orderKey, combine(results));
  }

  /** Returns how often the desk ran an order. */
  int getRuns(int port, String orderKey) throws IOException, InterruptedException {
    HttpRequest request = newRequest(port, "/v1/services/desk/lookups/" + orderKey).GET().build();
    HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
    return JsonUtils.parse(response.body()).path("orders").asInt(-1);
  }

  private static OrderResult combine(List<OrderResult> results) {
    if (results.contains(OrderResult.PLACED)) {
      return OrderResult.PLACED;
    }
    return results.contains(OrderResult.UNKNOWN) ? OrderResult.UNKNOWN : OrderResult.NOT_RUN;
  }

  private OrderResult sendOrder(int port, String orderKey) throws InterruptedException {
    HttpRequest request =
        newRequest(port, "/v1/services/desk/orders")
            .header("idempotency-key", orderKey)
            .POST(BodyPublishers.ofString("{\"item\":\"toner\"}"))
            .build();
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      if (response.statusCode() == 201) {
        return OrderResult.PLACED;
      }
      String outcome = JsonUtils.parse(response.body()).path("outcome").asText();
      return outcome.equals("not-run") ? OrderResult.NOT_RUN : OrderResult.UNKNOWN;
    } catch (IOException | IllegalArgumentException e) {
      return OrderResult.UNKNOWN;
    }
  }

  private HttpRequest newStream(int port, String prompt) {
    String body =
        "{\"model\":\"cards\",\"prompt\":\""
            + prompt
            + "\",\"max_tokens\":"
            + TOKENS
            + ",\"stream\":true}";
    return newRequest(port, "/v1/completions").POST(BodyPublishers.ofString(body)).build();
  }

  private HttpRequest.Builder newRequest(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(TIMEOUT)
        .header("authorization", "Bearer " + key);
  }

  private static String readText(String stream) {
    StringBuilder text = new StringBuilder();
    for (String line : stream.split("\n")) {
      if (line.startsWith("data: {")) {
        text.append(JsonUtils.parse(line.substring(6)).at("/choices/0/text").asText());
      }
    }
    return text.toString();
  }
}
