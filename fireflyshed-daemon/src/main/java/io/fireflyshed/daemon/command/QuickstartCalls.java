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

/** Makes example calls to an entry and checks the responses. */
final class QuickstartCalls implements AutoCloseable {

  private static final int MAX_ATTEMPTS = 200;
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
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

  /** Waits until a replica serves; returns false if none does in time. */
  boolean awaitServing() throws InterruptedException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      HttpResponse<String> response = post("/v1/completions", newCompletionBody(1, false), "");
      if (response != null && response.statusCode() == 200) {
        return true;
      }
      Thread.sleep(RETRY_DELAY.toMillis());
    }
    out.println("no replica served a request in time");
    return false;
  }

  void printCurlCommands() {
    String curl = "curl -sN -H 'authorization: Bearer " + key + "' ";
    out.println(
        "stream: " + curl + base + "/v1/completions -d '" + newCompletionBody(TOKENS, true) + "'");
    out.println(
        "order:  "
            + curl
            + "-H 'idempotency-key: "
            + ORDER_KEY
            + "' "
            + base
            + "/v1/services/desk/orders -d '"
            + ORDER
            + "'");
    out.println("lookup: " + curl + base + "/v1/services/desk/lookups/" + ORDER_KEY);
  }

  /** Requests a stream, an order and a lookup; returns whether all responses are correct. */
  boolean checkAll() throws InterruptedException {
    HttpResponse<String> stream = post("/v1/completions", newCompletionBody(TOKENS, true), "");
    boolean isStreamCorrect =
        print("stream", stream, 200)
            && stream.body().split("\nid: ", -1).length == TOKENS
            && stream.body().endsWith("data: [DONE]\n\n");
    HttpResponse<String> order = post("/v1/services/desk/orders", ORDER, ORDER_KEY);
    boolean isOrderCorrect = print("order", order, 201) && order.body().contains("placed");
    HttpResponse<String> lookup =
        send(newRequest("/v1/services/desk/lookups/" + ORDER_KEY).build());
    boolean isLookupCorrect =
        print("lookup", lookup, 200) && lookup.body().contains("\"orders\":1");
    return isStreamCorrect && isOrderCorrect && isLookupCorrect;
  }

  @Override
  public void close() {
    // The HTTP client of the JDK can be closed only from version 21 on.
  }

  private boolean print(String name, HttpResponse<String> response, int expectedStatus) {
    out.println(name + " response: " + (response == null ? "none" : response.statusCode()));
    if (response != null) {
      out.println(response.body().strip());
    }
    return response != null && response.statusCode() == expectedStatus;
  }

  private static String newCompletionBody(int tokens, boolean isStream) {
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
