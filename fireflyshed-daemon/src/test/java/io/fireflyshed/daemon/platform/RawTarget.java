package io.fireflyshed.daemon.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Accepts connections on a loopback port and answers requests byte by byte as a script says, so
 * that tests can send responses that no HTTP library sends. Thread safe.
 */
public final class RawTarget implements AutoCloseable {

  /**
   * A request as it was received.
   *
   * @param connection the number of the connection, starting with 0
   * @param line the request line, not null
   * @param headers the header lines, not null
   */
  public record Request(int connection, String line, List<String> headers) {

    /** Returns the path with the query. */
    public String getPath() {
      return line.split(" ")[1];
    }

    /** Returns the first value of a header, whose name may have any case. */
    public Optional<String> getHeader(String name) {
      String prefix = name.toLowerCase(Locale.ROOT) + ":";
      return headers.stream()
          .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(prefix))
          .map(h -> h.substring(prefix.length()).trim())
          .findFirst();
    }

    /** Returns the stated length of the body, 0 if there is none. */
    public int getContentLength() {
      return getHeader("content-length").map(Integer::parseInt).orElse(0);
    }
  }

  /** Answers one request. */
  public interface Script {

    /**
     * Answers a request. The script reads the body.
     *
     * @param request the request, not null
     * @param connection the connection; closing it ends the service of the connection, not null
     * @throws IOException if the connection fails
     */
    void answer(Request request, Socket connection) throws IOException;
  }

  private final ServerSocket serverSocket;
  private final Script script;
  private final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
  private final List<Socket> connections = Collections.synchronizedList(new ArrayList<>());
  private volatile boolean isClosed;

  /**
   * Starts a target.
   *
   * @param script answers the requests, not null
   */
  public RawTarget(Script script) throws IOException {
    this.script = script;
    serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread("raw target", this::acceptConnections);
  }

  private static void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the port, which was free. */
  public int getPort() {
    return serverSocket.getLocalPort();
  }

  /** Returns the requests whose heads were received, in order. */
  List<Request> getRequests() {
    return List.copyOf(requests);
  }

  private void acceptConnections() {
    try {
      for (int number = 0; ; number++) {
        Socket connection = serverSocket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        int id = number;
        startThread("raw target " + id, () -> serve(id, connection));
      }
    } catch (IOException e) {
      if (!isClosed) {
        throw new IllegalStateException("the target can't accept connections", e);
      }
    }
  }

  private void serve(int id, Socket connection) {
    try (connection) {
      while (!connection.isClosed()) {
        Optional<Request> request = readHead(id, connection.getInputStream());
        if (request.isEmpty()) {
          return;
        }
        requests.add(request.get());
        script.answer(request.get(), connection);
      }
    } catch (IOException e) {
      // The entry closes connections whose responses it rejects.
      System.err.println("connection " + id + " of the raw target ended: " + e);
    }
  }

  /** Reads a request up to the empty line after its headers; empty at the end of the connection. */
  private static Optional<Request> readHead(int id, InputStream in) throws IOException {
    String line = readLine(in);
    if (line.isEmpty()) {
      return Optional.empty();
    }
    List<String> headers = new ArrayList<>();
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      headers.add(header);
    }
    return Optional.of(new Request(id, line, headers));
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

  /** Writes text to a connection at once. */
  public static void write(Socket connection, String text) throws IOException {
    OutputStream out = connection.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Closes a connection with a reset instead of a regular end. */
  static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  @Override
  public void close() throws IOException {
    isClosed = true;
    serverSocket.close();
    for (Socket connection : List.copyOf(connections)) {
      connection.close();
    }
  }
}
