package io.fireflyshed.daemon.platform;

import io.fireflyshed.standins.fleet.FleetStandIn;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * Sends requests on one connection and tells whether a response is complete on the wire. Not thread
 * safe.
 */
final class RawCaller implements AutoCloseable {

  /**
   * A response as far as it was received.
   *
   * @param status the status, or 0 if the connection ended before the response began
   * @param body the body that was received, not null
   * @param isComplete whether the response ended as its headers say
   * @param retryAfter the seconds after which the caller should come back, empty if not stated
   */
  record Response(int status, String body, boolean isComplete, OptionalDouble retryAfter) {

    /** Tests whether a caller takes the response for a success. */
    boolean isSuccess() {
      return status / 100 == 2 && isComplete;
    }
  }

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

  private final Socket socket;
  private final InputStream in;

  RawCaller(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and reads its response. */
  Response send(String method, String path, String id, byte[] body) throws IOException {
    sendHead(method, path, id, body.length);
    sendBytes(body, 0, body.length);
    return readResponse(method);
  }

  void sendHead(String method, String path, String id, int contentLength) throws IOException {
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + FleetStandIn.HOST
            + "\r\nAuthorization: Bearer "
            + FleetStandIn.KEY
            + "\r\nX-Attempt-Id: "
            + id
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: "
            + contentLength
            + "\r\n"
            + (isGeneration(path) ? "X-Model: " + FleetStandIn.MODEL + "\r\n" : "")
            + "\r\n";
    byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
    sendBytes(bytes, 0, bytes.length);
  }

  private static boolean isGeneration(String path) {
    return path.startsWith("/chat/") || path.startsWith("/notes/");
  }

  void sendBytes(byte[] bytes, int from, int length) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(bytes, from, length);
    out.flush();
  }

  /** Reads a response up to its end or that of the connection. */
  Response readResponse(String method) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    try {
      String line = readLine(in);
      if (line.isEmpty()) {
        return new Response(0, "", false, OptionalDouble.empty());
      }
      status = Integer.parseInt(line.split(" ")[1]);
      long length = -1;
      boolean isChunked = false;
      OptionalDouble retryAfter = OptionalDouble.empty();
      for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
        String text = header.toLowerCase(Locale.ROOT);
        if (text.startsWith("content-length:")) {
          length = Long.parseLong(text.substring("content-length:".length()).trim());
        }
        if (text.startsWith("retry-after:")) {
          retryAfter =
              OptionalDouble.of(Double.parseDouble(text.substring("retry-after:".length()).trim()));
        }
        isChunked |= text.startsWith("transfer-encoding:") && text.endsWith("chunked");
      }
      boolean isComplete =
          method.equals("HEAD") || (isChunked ? readChunks(in, body) : read(in, body, length));
      return new Response(status, body.toString(StandardCharsets.UTF_8), isComplete, retryAfter);
    } catch (SocketException e) {
      return new Response(
          status, body.toString(StandardCharsets.UTF_8), false, OptionalDouble.empty());
    }
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine(in);
      if (size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size, 16);
      if (!read(in, body, length)) {
        return false;
      }
      readLine(in);
      if (length == 0) {
        return true;
      }
    }
  }

  /** Reads a body of a length, or up to the end of the connection if the length is negative. */
  private static boolean read(InputStream in, ByteArrayOutputStream body, long length)
      throws IOException {
    for (long i = 0; i != length; i++) {
      int b = in.read();
      if (b < 0) {
        return length < 0;
      }
      body.write(b);
    }
    return true;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
