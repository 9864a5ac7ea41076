package io.fireflyshed.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.NoEffectException;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link HttpCaller} and {@link HandOver}. */
public class HttpCallerTest {

  private static final int WAIT_SECONDS = 30;

  /** The bytes of an endless response that may be sent, some of them into buffers. */
  private static final long MAX_ENDLESS_BYTES = 32 << 20;

  private final HttpCaller caller = new HttpCaller("test");

  /** Closes the pool. */
  @AfterClass
  public void close() {
    caller.close();
  }

  /**
   * Accepts one connection, sends the given text on it and closes it. Returns a future of the
   * number of bytes received, or -1 if the connection was closed without any.
   */
  private static CompletableFuture<Integer> serveOnce(ServerSocket server, String response) {
    CompletableFuture<Integer> received = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                int count = socket.getInputStream().read(new byte[4096]);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                received.complete(count);
              } catch (IOException e) {
                received.completeExceptionally(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return received;
  }

  /** Accepts one connection and sends a head and then a text on it until it is closed. */
  private static CompletableFuture<Long> serveWithoutEnd(
      ServerSocket server, String head, String repeatedText) {
    CompletableFuture<Long> sentBytes = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              byte[] bytes = repeatedText.getBytes(StandardCharsets.US_ASCII);
              long sent = 0;
              try (Socket socket = server.accept()) {
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                while (true) {
                  socket.getOutputStream().write(bytes);
                  sent += bytes.length;
                }
              } catch (IOException e) {
                sentBytes.complete(sent);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return sentBytes;
  }

  /** Provides heads and the texts that follow them without end. */
  @DataProvider
  public Object[][] endlessResponses() {
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
      {"HTTP/1.1 200 OK\r\nX-Header: ", "x".repeat(0x8000)},
      {"HTTP/1.1 200 OK", "x".repeat(0x8000)},
      {"", "x".repeat(0x8000)}
    };
  }

  @Test(dataProvider = "endlessResponses")
  public void responseWithoutEndFailsAndClosesTheConnection(String head, String repeatedText)
      throws Exception {
    try (ServerSocket server = newServer()) {
      CompletableFuture<Long> sentBytes = serveWithoutEnd(server, head, repeatedText);
      assertTrue(sendAndFail(server.getLocalPort()) instanceof EffectUnknownException);
      long sent = sentBytes.get(WAIT_SECONDS, TimeUnit.SECONDS);
      assertTrue(sent < MAX_ENDLESS_BYTES, "bytes sent: " + sent);
    }
  }

  @Test
  public void responseForWhichThereIsNoRoomFails() throws IOException {
    ByteBudget budget = new ByteBudget(100_000, new ManualClock(), ByteBudget.Listener.none());
    ByteClaim claim = new ByteClaim(ByteUse.REQUEST, Set.of(), true);
    try (ServerSocket server = newServer();
        HttpCaller limited = new HttpCaller("limited", 1 << 20, budget);
        ByteBudget.Reservation others = budget.tryReserve(claim, 90_000).orElseThrow()) {
      serveOnce(server, "HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n" + "x".repeat(20_000));
      assertTrue(sendAndFail(limited, server.getLocalPort()) instanceof EffectUnknownException);
      assertEquals(budget.getUsed(), others.getBytes());
    }
    assertEquals(budget.getUsed(), 0);
  }

  private Throwable sendAndFail(int port) {
    return sendAndFail(caller, port);
  }

  private static Throwable sendAndFail(HttpCaller sender, int port) {
    HttpCall call =
        new HttpCall(
            "order",
            new InetSocketAddress("127.0.0.1", port),
            HttpMethod.POST,
            "/orders",
            Map.of(),
            "body",
            Duration.ofSeconds(WAIT_SECONDS));
    return expectThrows(
            ExecutionException.class, () -> sender.send(call).get(WAIT_SECONDS, TimeUnit.SECONDS))
        .getCause();
  }

  private static ServerSocket newServer() throws IOException {
    return new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
  }

  @Test
  public void refusedConnectionHasNoEffect() throws IOException {
    int port;
    try (ServerSocket server = newServer()) {
      port = server.getLocalPort();
    }
    assertTrue(sendAndFail(port) instanceof NoEffectException);
  }

  @Test
  public void connectionClosedWithoutResponseHasUnknownEffect() throws IOException {
    try (ServerSocket server = newServer()) {
      serveOnce(server, "");
      assertTrue(sendAndFail(server.getLocalPort()) instanceof EffectUnknownException);
    }
  }

  @Test
  public void truncatedBodyHasUnknownEffect() throws IOException {
    try (ServerSocket server = newServer()) {
      serveOnce(server, "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf");
      assertTrue(sendAndFail(server.getLocalPort()) instanceof EffectUnknownException);
    }
  }

  /** Provides responses that end within their heads. */
  @DataProvider
  public Object[][] truncatedHeads() {
    return new Object[][] {
      {"HTTP/1.1 2"},
      {"HTTP/1.1 204 No Content\r\n"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Na"},
      {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n"}
    };
  }

  @Test(dataProvider = "truncatedHeads")
  public void truncatedHeadHasUnknownEffect(String head) throws IOException {
    try (ServerSocket server = newServer()) {
      serveOnce(server, head);
      assertTrue(sendAndFail(server.getLocalPort()) instanceof EffectUnknownException);
    }
  }

  @Test
  public void bodyOfUndeclaredLengthHasUnknownEffect() throws IOException {
    try (ServerSocket server = newServer()) {
      serveOnce(server, "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf");
      assertTrue(sendAndFail(server.getLocalPort()) instanceof EffectUnknownException);
    }
  }

  @Test
  public void abandonedRequestIsNeverWritten() throws Exception {
    try (ServerSocket server = newServer();
        HttpCaller other = new HttpCaller("other")) {
      CompletableFuture<Integer> received = serveOnce(server, "");
      HandOver handOver = new HandOver();
      assertTrue(handOver.isGivenUp());
      CompletableFuture<?> response =
          other
              .getUnpooledClient()
              .doOnRequest((request, connection) -> handOver.begin())
              .get()
              .uri("http://127.0.0.1:" + server.getLocalPort() + "/")
              .response()
              .toFuture();
      assertThrows(ExecutionException.class, () -> response.get(WAIT_SECONDS, TimeUnit.SECONDS));
      other.close();
      assertEquals((int) received.get(WAIT_SECONDS, TimeUnit.SECONDS), -1);
    }
  }

  @Test
  public void sentRequestCannotBeAbandoned() {
    HandOver handOver = new HandOver();
    handOver.begin(); // just before the first byte
    boolean isUnsent = handOver.isGivenUp(); // false: it may have arrived
    assertFalse(isUnsent);
    assertThrows(IllegalStateException.class, handOver::begin);
  }
}
