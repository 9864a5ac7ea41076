package io.fireflyshed.transport.forward;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** A caller's connection that shows exactly which bytes arrive and when the connection ends. */
final class HttpConnection implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 10_000;

  /**
   * A response, complete or not.
   *
   * @param status the status
   * @param headers the headers by their names in lower case
   * @param body the part of the body that arrived
   * @param isComplete whether the whole body arrived
   */
  record Response(int status, Map<String, String> headers, String body, boolean isComplete) {}

  private final Socket socket;
  private final InputStream in;

  HttpConnection(InetSocketAddress address) {
    try {
      socket = new Socket(address.getHostString(), address.getPort());
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      in = new BufferedInputStream(socket.getInputStream());
    } catch (IOException e) {
      throw new UncheckedIOException("the connection was not accepted", e);
    }
  }

  /** Sends bytes; a connection that the server closed before is no error. */
  void send(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (SocketException e) {
      // The next read shows that the connection has ended.
      return;
    } catch (IOException e) {
      throw new UncheckedIOException("the request could not be sent", e);
    }
  }

  /** Waits for the first byte of a response, which is read later. */
  void awaitResponse() {
    try {
      in.mark(1);
      in.read();
      in.reset();
    } catch (IOException e) {
      throw new UncheckedIOException("no response came", e);
    }
  }

  /** Reads a response; empty if the connection ends before its first byte. */
  Optional<Response> read() {
    return read(true);
  }

  /** Reads a response, which may have no body whatever its headers say. */
  Optional<Response> read(boolean hasBody) {
    try {
      Optional<String> head = readHead();
      return head.isEmpty() ? Optional.empty() : Optional.of(readResponse(head.get(), hasBody));
    } catch (SocketException e) {
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException("the response could not be read", e);
    }
  }

  private Optional<String> readHead() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return Optional.empty();
      }
      head.append((char) next);
    }
    return Optional.of(head.toString());
  }

  private Response readResponse(String head, boolean hasBody) throws IOException {
    String[] lines = head.split("\r\n");
    Map<String, String> headers = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    int status = Integer.parseInt(lines[0].split(" ")[1]);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean isComplete = !hasBody || status < 200 || readBody(headers, body);
    return new Response(status, headers, body.toString(StandardCharsets.US_ASCII), isComplete);
  }

  private boolean readBody(Map<String, String> headers, ByteArrayOutputStream body)
      throws IOException {
    return headers.containsKey("content-length")
        ? readBytes(body, Integer.parseInt(headers.get("content-length")))
        : readChunks(body);
  }

  private boolean readBytes(ByteArrayOutputStream body, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      int next = readByte();
      if (next < 0) {
        return false;
      }
      body.write(next);
    }
    return true;
  }

  private boolean readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      StringBuilder line = new StringBuilder();
      while (line.indexOf("\r\n") < 0) {
        int next = readByte();
        if (next < 0) {
          return false;
        }
        line.append((char) next);
      }
      int size = Integer.parseInt(line.toString().trim(), 16);
      ByteArrayOutputStream lineEnd = new ByteArrayOutputStream();
      if (!readBytes(body, size) || !readBytes(lineEnd, 2)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  /** Reads a byte; -1 if the connection has ended or was reset. */
  private int readByte() throws IOException {
    try {
      return in.read();
    } catch (SocketException e) {
      return -1;
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("the connection could not be closed", e);
    }
  }
}
