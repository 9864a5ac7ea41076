package io.fireflyshed.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Makes the calls that show a working system. */
final class QuickstartCalls implements AutoCloseable {

  private static final int MAX_TRIES = 200;
  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final int TOKENS = 8;
  private static final String ORDER_KEY = "order-1";
  private static final String ORDER = "{\"item\":\"developer\",\"count\":2}";

  private final HttpClient client = HttpClient.newHttpClient();
  private final String base;
  private final String key;
  private final PrintStream out;

  QuickstartCalls(String base, String key, PrintStream out) {
    this.base = base;
    this.key = key;
    this.out = out;
  }

  /** Waits until a replica serves. */
  boolean awaitServing() throws InterruptedException {
    for (int i = 0; i < MAX_TRIES; i++) {
      HttpResponse<String> response = post("/v1/completions", newPrompt(1, false), "");
      if (response != null && response.statusCode() == 200) {
        return true;
      }
      Thread.sleep(PAUSE.toMillis());
    }
    out.println("no replica became whole");
    return false;
  }

  void printCurlLines() {
    String head = "curl -sN -H 'authorization: Bearer " + key + "' ";
    out.println("stream: " + head + base + "/v1/completions -d '" + newPrompt(TOKENS, true) + "'");
    out.println(
        "order:  "
            + head
            + "-H 'idempotency-key: "
            + ORDER_KEY
            + "' "
            + base
            + "/v1/services/desk/orders -d '"
            + ORDER
            + "'");
    out.println("lookup: " + head + base + "/v1/services/desk/lookups/" + ORDER_KEY);
  }

  /** Makes a stream, an order and a lookup and tells whether all are right. */
  boolean makeAll() throws InterruptedException {
    HttpResponse<String> stream = post("/v1/completions", newPrompt(TOKENS, true), "");
    boolean isStreamRight =
        print("stream", stream, 200)
            && stream.body().split("\nid: ", -1).length == TOKENS
            && stream.body().endsWith("data: [DONE]\n\n");
    HttpResponse<String> order = post("/v1/services/desk/orders", ORDER, ORDER_KEY);
    boolean isOrderRight = print("order", order, 201) && order.body().contains("placed");
    HttpResponse<String> lookup =
        send(newRequest("/v1/services/desk/lookups/" + ORDER_KEY).build());
    boolean isLookupRight = print("lookup", lookup, 200) && lookup.body().contains("\"orders\":1");
    return isStreamRight && isOrderRight && isLookupRight;
  }

  @Override
  public void close() {
    // The client of the JDK needs no close before version 21.
  }

  private boolean print(String name, HttpResponse<String> response, int wanted) {
    out.println(name + " answered " + (response == null ? "nothing" : response.statusCode()));
    if (response != null) {
      out.println(response.body().strip());
    }
    return response != null && response.statusCode() == wanted;
  }

  private static String newPrompt(int tokens, boolean isStream) {
    return "{\"model\":\"cards\",\"prompt\":\"a formula card for warm copper\",\"max_tokens\":"
        + tokens
        + ",\"stream\":"
        + isStream
        + "}";
  }

  private HttpRequest.Builder newRequest(String path) {
    return HttpRequest.newBuilder(URI.create(base + path))
        .timeout(Duration.ofSeconds(10))
        .header("authorization", "Bearer " + key);
  }

  private HttpResponse<String> post(String path, String body, String orderKey)
      throws InterruptedException {
    HttpRequest.Builder request = newRequest(path).POST(BodyPublishers.ofString(body));
    if (!orderKey.isEmpty()) {
      request.header("idempotency-key", orderKey);
    }
    return send(request.build());
  }

  private HttpResponse<String> send(HttpRequest request) throws InterruptedException {
    try {
      return client.send(request, BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    }
  }
}
