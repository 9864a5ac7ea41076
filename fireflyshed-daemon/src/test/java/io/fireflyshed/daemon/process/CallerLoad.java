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

/** Sends streams and orders through entries and keeps what callers received. Thread safe. */
final class CallerLoad {

  static final int TOKENS = 60;

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** What the answers to an order said, taken together. */
  enum OrderVerdict {
    /** An answer said that the order was placed. */
    PLACED,
    /** Every answer said that the order did not run. */
    NOT_RUN,
    /** Some answer was missing or did not know. */
    UNKNOWN
  }

  private final HttpClient client = HttpClient.newHttpClient();
  private final String key;
  private final Map<String, OrderVerdict> orders = new ConcurrentHashMap<>();
  private final List<String> wrongStreams = new CopyOnWriteArrayList<>();
  private final AtomicInteger wholeStreams = new AtomicInteger();
  private final AtomicInteger brokenStreams = new AtomicInteger();

  CallerLoad(String key) {
    this.key = key;
  }

  Map<String, OrderVerdict> getOrders() {
    return orders;
  }

  List<String> getWrongStreams() {
    return wrongStreams;
  }

  int getWholeStreams() {
    return wholeStreams.get();
  }

  int getBrokenStreams() {
    return brokenStreams.get();
  }

  /** Gets the text of a whole answer to a prompt. */
  String ask(int port, String prompt) throws IOException, InterruptedException {
    HttpResponse<String> response = client.send(newStream(port, prompt), BodyHandlers.ofString());
    return response.statusCode() == 200 ? joinText(response.body()) : "";
  }

  /** Streams an answer and checks that it is the whole answer or says that it is not. */
  void stream(int port, String prompt, String expected) throws InterruptedException {
    try {
      HttpResponse<String> response = client.send(newStream(port, prompt), BodyHandlers.ofString());
      String body = response.body();
      if (response.statusCode() != 200 || body.contains("event: error")) {
        brokenStreams.incrementAndGet();
      } else if (body.endsWith("data: [DONE]\n\n") && joinText(body).equals(expected)) {
        wholeStreams.incrementAndGet();
      } else {
        wrongStreams.add(body);
      }
    } catch (IOException e) {
      brokenStreams.incrementAndGet();
    }
  }

  /** Places an order; if an answer is missing, sends the same key again through another entry. */
  void order(IntSupplier ports, String orderKey, int tries) throws InterruptedException {
    List<OrderVerdict> verdicts = new ArrayList<>();
    for (int i = 0; i < tries && !verdicts.contains(OrderVerdict.PLACED); i++) {
      verdicts.add(orderOnce(ports.getAsInt(), orderKey));
    }
    orders.put(orderKey, join(verdicts));
  }

  /** Gets how often the desk ran an order. */
  int getRuns(int port, String orderKey) throws IOException, InterruptedException {
    HttpRequest request = newRequest(port, "/v1/services/desk/lookups/" + orderKey).GET().build();
    HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
    return JsonUtils.parse(response.body()).path("orders").asInt(-1);
  }

  private static OrderVerdict join(List<OrderVerdict> verdicts) {
    if (verdicts.contains(OrderVerdict.PLACED)) {
      return OrderVerdict.PLACED;
    }
    return verdicts.contains(OrderVerdict.UNKNOWN) ? OrderVerdict.UNKNOWN : OrderVerdict.NOT_RUN;
  }

  private OrderVerdict orderOnce(int port, String orderKey) throws InterruptedException {
    HttpRequest request =
        newRequest(port, "/v1/services/desk/orders")
            .header("idempotency-key", orderKey)
            .POST(BodyPublishers.ofString("{\"item\":\"toner\"}"))
            .build();
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      if (response.statusCode() == 201) {
        return OrderVerdict.PLACED;
      }
      String outcome = JsonUtils.parse(response.body()).path("outcome").asText();
      return outcome.equals("not-run") ? OrderVerdict.NOT_RUN : OrderVerdict.UNKNOWN;
    } catch (IOException | IllegalArgumentException e) {
      return OrderVerdict.UNKNOWN;
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

  private static String joinText(String stream) {
    StringBuilder text = new StringBuilder();
    for (String line : stream.split("\n")) {
      if (line.startsWith("data: {")) {
        text.append(JsonUtils.parse(line.substring(6)).at("/choices/0/text").asText());
      }
    }
    return text.toString();
  }
}
