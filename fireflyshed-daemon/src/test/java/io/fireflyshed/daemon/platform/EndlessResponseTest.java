package io.fireflyshed.daemon.platform;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that responses without an end cost {@link PlatformEntry} neither memory nor a caller. */
public class EndlessResponseTest {

  private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String LETTERS = "x".repeat(16 << 10);

  /** The deadline of the requests and the time in which their callers must have an answer then. */
  private static final Duration MAX_TIME = Duration.ofMillis(3000 + 500);

  /** What an entry may read of a response, with what the sockets hold. */
  private static final long MAX_BYTES = 16 << 20;

  private final AtomicLong sentBytes = new AtomicLong();
  private RawTargetSite site;

  /** Starts a target and an entry. */
  @BeforeMethod
  public void setUp() throws Exception {
    site = new RawTargetSite(this::answer, "/lookups/plain", "/chat/plain");
    sentBytes.set(0);
  }

  /** Stops the entry and the target. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() throws IOException {
    site.close();
  }

  private void answer(RawTarget.Request request, Socket connection) throws IOException {
    if (request.getPath().equals("/api/report")) {
      RawTarget.write(connection, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    connection.getInputStream().readNBytes(request.getContentLength());
    String kind = request.getPath().split("/")[2];
    String own =
        "X-Attempt-Id: "
            + request.getHeader("x-attempt-id").orElse("")
            + "\r\nX-Replica-Signature: s\r\n";
    if (kind.equals("plain")) {
      String body = "id: 1\ndata: one\n\n";
      RawTarget.write(
          connection, OK + own + "Content-Length: " + body.length() + "\r\n\r\n" + body);
      return;
    }
    RawTarget.write(connection, getBegin(kind, OK + own));
    String part = getRepeatedPart(kind);
    while (!connection.isClosed()) {
      RawTarget.write(connection, part);
      sentBytes.addAndGet(part.length());
    }
  }

  private static String getBegin(String kind, String head) {
    String chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    return switch (kind) {
      case "garbage", "garbage-lines", "interim" -> "";
      case "status-line" -> "HTTP/1.1 200 ";
      case "header" -> head + "X-Long: ";
      case "headers" -> head;
      case "body" -> head + "\r\n";
      case "length" -> head + "Content-Length: 1000000000000\r\n\r\n";
      case "error" -> head.replace("200 OK", "500 x") + "\r\n";
      case "chunks", "chunk-size" -> chunkedHead;
      case "chunk" -> chunkedHead + "7fffffff\r\n";
      case "chunk-extension" -> chunkedHead + "5;";
      case "trailer" -> chunkedHead + "11\r\nid: 1\ndata: one\n\n\r\n0\r\n";
      default -> throw new IllegalStateException("unknown kind " + kind);
    };
  }

  private static String getRepeatedPart(String kind) {
    return switch (kind) {
      case "garbage-lines" -> LETTERS.substring(1) + "\n";
      case "headers", "trailer" -> "X-Other: " + LETTERS.substring(0, 100) + "\r\n";
      case "interim" -> "HTTP/1.1 100 Continue\r\n\r\n";
      case "chunk-size" -> "0".repeat(LETTERS.length());
      case "chunks" -> Integer.toHexString(LETTERS.length()) + "\r\n" + LETTERS + "\r\n";
      default -> LETTERS;
    };
  }

  /** Provides responses without an end, for each kind of route. */
  @DataProvider
  public Object[][] endlessResponses() {
    List<Object[]> cases = new ArrayList<>();
    for (String kind :
        List.of(
            "garbage",
            "garbage-lines",
            "interim",
            "status-line",
            "header",
            "headers",
            "body",
            "length",
            "error",
            "chunks",
            "chunk",
            "chunk-size",
            "chunk-extension",
            "trailer")) {
      for (String route : List.of("lookups", "orders", "notes", "chat")) {
        cases.add(new Object[] {"/" + route + "/" + kind});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  @Test(dataProvider = "endlessResponses")
  public void endlessResponseIsAbandoned(String path) throws IOException {
    long start = System.nanoTime();
    RawCaller.Response response = site.send(path, BODY);
    Duration time = Duration.ofNanos(System.nanoTime() - start);
    assertFalse(response.isSuccess(), response.toString());
    assertFalse(List.of(408, 421, 429, 503).contains(response.status()), "it is told as not run");
    assertTrue(time.compareTo(MAX_TIME) <= 0, "answered after " + time);
    long bytes = sentBytes.get();
    assertTrue(bytes <= MAX_BYTES || path.endsWith("/interim"), bytes + " bytes were read");
    assertTrue(site.send("/lookups/plain", BODY).isSuccess(), "the entry doesn't serve any more");
  }
}
