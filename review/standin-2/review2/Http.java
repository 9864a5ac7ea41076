package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on plain sockets, with a thread for each connection. */
final class Http {

  /** A message; names of headers are compared without regard to case. */
  record Message(String line, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name);
    }

    String method() {
      return line.split(" ")[0];
    }

    String target() {
      return line.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles the requests of one connection. */
  interface Handler {
    /** Returns whether the connection goes on. */
    boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
  }

  /** A server that can be closed with all its connections. */
  static final class Server implements AutoCloseable {
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Server(String address, Handler handler) throws IOException {
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 512);
      start(() -> accept(handler));
    }

    String address() {
      return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept(Handler handler) {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          sockets.add(socket);
          start(() -> serve(socket, handler));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket, Handler handler) {
      try (socket) {
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        while (handler.handle(read(in, false), socket, out)) {
          out.flush();
        }
      } catch (Exception e) {
        // The connection ends.
      } finally {
        sockets.remove(socket);
      }
    }

    /** Takes no more connections; those that are open go on. */
    void stopListening() throws IOException {
      listener.close();
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private Http() {}

  static void start(Runnable task) {
    newDaemon(task).start();
  }

  static Thread newDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static Message read(InputStream in, boolean isResponse) throws IOException {
    String line = readLine(in);
    while (line.isEmpty()) {
      line = readLine(in);
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.merge(
          header.substring(0, colon), header.substring(colon + 1).trim(), (a, b) -> a + ", " + b);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String length = headers.get("Content-Length");
    if (length != null) {
      body.write(readBytes(in, Integer.parseInt(length)));
    } else if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      int size = Integer.parseInt(readLine(in).trim(), 16);
      while (size > 0) {
        body.write(readBytes(in, size));
        readLine(in);
        size = Integer.parseInt(readLine(in).trim(), 16);
      }
      readLine(in);
    }
    return new Message(line, headers, body.toByteArray());
  }

  static byte[] readBytes(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static void write(OutputStream out, String status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }
}
