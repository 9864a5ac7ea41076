package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over loopback how callers see the end of responses, directly and through another entry. */
public class ResponseWireTest {

  private static final int PARTS = 10;

  /** A response that is longer than what is held and takes longer than its attempt. */
  private static final String LONG_BODY = "0123456789".repeat(20_000);

  private static final String SHORT_BODY = "short";

  private EntrySite site;
  private int lastId;

  /** Starts the entries and targets. */
  @BeforeClass
  public void setUp() {
    site = new EntrySite(ResponseWireTest::answer);
  }

  /** Stops the entries and targets. */
  @AfterClass(alwaysRun = true)
  public void tearDown() throws Exception {
    site.close();
  }

  /** Answers as the last part of the path says. */
  private static void answer(EntrySite.Request request, Socket connection)
      throws IOException, InterruptedException {
    OutputStream out = connection.getOutputStream();
    String head = request.newHead("200 OK");
    String length = "Content-Length: " + LONG_BODY.length() + "\r\n\r\n";
    switch (request.getName()) {
      case "long-length" -> writeSlowly(out, head + length, LONG_BODY, false);
      case "long-length-cut" ->
          writeSlowly(out, head + length, LONG_BODY.substring(0, 190_000), false);
      case "long-chunks" -> {
        writeSlowly(out, head + "Transfer-Encoding: chunked\r\n\r\n", LONG_BODY, true);
        write(out, "0\r\n\r\n");
      }
      case "long-chunks-cut" ->
          writeSlowly(out, head + "Transfer-Encoding: chunked\r\n\r\n", LONG_BODY, true);
      case "head" -> write(out, head + length);
      case "short" ->
          write(out, head + "Content-Length: " + SHORT_BODY.length() + "\r\n\r\n" + SHORT_BODY);
      case "empty" -> write(out, head + "Content-Length: 0\r\n\r\n");
      case "204" -> write(out, request.newHead("204 No Content") + "\r\n");
      case "304" -> write(out, request.newHead("304 Not Modified") + length);
      default -> throw new IllegalStateException("unknown path " + request.path());
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static void writeSlowly(OutputStream out, String head, String body, boolean isChunked)
      throws IOException, InterruptedException {
    write(out, head);
    for (int i = 0; i < PARTS; i++) {
      String part = body.substring(body.length() * i / PARTS, body.length() * (i + 1) / PARTS);
      write(out, isChunked ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part);
      Thread.sleep(30);
    }
  }

  /** Provides the kinds of routes whose responses are no streams, directly and relayed. */
  @DataProvider
  public Object[][] ways() {
    List<Object[]> ways = new ArrayList<>();
    for (String path : List.of(EntrySite.LOOKUP_PATH, EntrySite.ORDER_PATH)) {
      ways.add(new Object[] {path, false});
      ways.add(new Object[] {path, true});
    }
    return ways.toArray(new Object[0][]);
  }

  private HttpConnection.Response send(
      HttpConnection connection, String method, String path, boolean hasBody) {
    connection.send(EntrySite.newRequest(method, path, "id-" + ++lastId));
    return connection.read(hasBody).orElseThrow();
  }

  private HttpConnection.Response send(String path, boolean isRelayed) {
    try (HttpConnection connection = new HttpConnection(site.getAddress(isRelayed))) {
      return send(connection, "GET", path, true);
    }
  }

  @Test(dataProvider = "ways")
  public void lengthOfALongResponseIsKept(String path, boolean isRelayed) {
    HttpConnection.Response response = send(path + "long-length", isRelayed);
    assertTrue(response.isComplete(), "the response is cut off");
    assertEquals(response.body(), LONG_BODY);
    assertEquals(response.headers().get("content-length"), "" + LONG_BODY.length());
    assertFalse(response.headers().containsKey("transfer-encoding"));
  }

  @Test(dataProvider = "ways")
  public void longResponseInChunksIsWhole(String path, boolean isRelayed) {
    HttpConnection.Response response = send(path + "long-chunks", isRelayed);
    assertTrue(response.isComplete(), "the response is cut off");
    assertEquals(response.body(), LONG_BODY);
  }

  @Test(dataProvider = "ways")
  public void longResponseThatBreaksOffDoesNotLookWhole(String path, boolean isRelayed) {
    for (String name : List.of("long-length-cut", "long-chunks-cut")) {
      HttpConnection.Response response = send(path + name, isRelayed);
      assertEquals(response.status(), 200);
      assertTrue(LONG_BODY.startsWith(response.body()));
      assertFalse(response.isComplete(), name);
    }
  }

  @Test(dataProvider = "ways")
  public void lengthOfAShortResponseIsKept(String path, boolean isRelayed) {
    try (HttpConnection connection = new HttpConnection(site.getAddress(isRelayed))) {
      for (String body : List.of(SHORT_BODY, "")) {
        HttpConnection.Response response =
            send(connection, "GET", path + (body.isEmpty() ? "empty" : "short"), true);
        assertTrue(response.isComplete());
        assertEquals(response.body(), body);
        assertEquals(response.headers().get("content-length"), "" + body.length());
      }
    }
  }

  @Test(dataProvider = "ways")
  public void responseToHeadKeepsItsLengthAndHasNoBody(String path, boolean isRelayed) {
    try (HttpConnection connection = new HttpConnection(site.getAddress(isRelayed))) {
      HttpConnection.Response response = send(connection, "HEAD", path + "head", false);
      assertEquals(response.status(), 200);
      assertEquals(response.headers().get("content-length"), "" + LONG_BODY.length());
      assertEquals(send(connection, "GET", path + "short", true).body(), SHORT_BODY);
    }
  }

  /** Provides statuses that exclude a body, directly and relayed. */
  @DataProvider
  public Object[][] statusesWithoutBody() {
    return new Object[][] {{204, false}, {204, true}, {304, false}, {304, true}};
  }

  @Test(dataProvider = "statusesWithoutBody")
  public void responseWithoutBodyIsNotFollowedByOne(int status, boolean isRelayed) {
    try (HttpConnection connection = new HttpConnection(site.getAddress(isRelayed))) {
      HttpConnection.Response response =
          send(connection, "GET", EntrySite.ORDER_PATH + status, false);
      assertEquals(response.status(), status);
      assertFalse(response.headers().containsKey("transfer-encoding"));
      assertEquals(Optional.ofNullable(response.headers().get("content-length")).orElse("0"), "0");
      assertEquals(
          send(connection, "GET", EntrySite.ORDER_PATH + "short", true).body(), SHORT_BODY);
    }
  }
}
