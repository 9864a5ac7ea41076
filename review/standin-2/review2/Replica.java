package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a plain service. It runs requests in its slots and says its load. */
final class Replica implements AutoCloseable {

  /** What is told of requests. */
  interface Listener {
    /** A request has arrived and was neither misdirected nor rejected. */
    void onRun(Replica replica, Http.Message request);
  }

  final String id;
  final String service;
  final String zone;
  final long born = System.currentTimeMillis();
  final int slots;
  final long workMillis;
  private final Http.Server server;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final Listener listener;
  private volatile boolean isLeaving;
  private volatile boolean isGone;

  Replica(
      String id,
      String service,
      String zone,
      String ip,
      int slots,
      long workMillis,
      Listener listener)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.free = new Semaphore(slots);
    this.listener = listener;
    this.server = new Http.Server(ip, this::handle);
  }

  String address() {
    return server.address();
  }

  Map<String, Object> entry(long sequence) {
    return Json.of(
        "service", service,
        "address", address(),
        "zone", zone,
        "version", "v1",
        "slots", (long) slots,
        "state", isLeaving ? "draining" : "ready",
        "cold_remaining_ms", 0L,
        "sequence", sequence,
        "born", born);
  }

  /** From now on all answers say that the replica leaves. */
  void leave() {
    isLeaving = true;
  }

  /** Ends the replica with all its connections. */
  void end() throws IOException {
    isGone = true;
    server.close();
  }

  private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Replica-Id", id);
    if (isLeaving) {
      headers.put("Server-Leaving", "1");
    }
    String attempt = request.header("X-Attempt-Id");
    if (attempt != null) {
      headers.put("X-Attempt-Id", attempt);
    }
    String expected = request.header("X-Expect-Replica");
    if (expected != null && !expected.equals(id)) {
      Http.write(out, "421 Misdirected Request", headers, new byte[0]);
      return true;
    }
    headers.put("X-Replica-Load", running.get() + ",0," + slots);
    if (request.target().equals("/healthz")) {
      String status = isLeaving ? "503 Service Unavailable" : "200 OK";
      Http.write(out, status, headers, new byte[0]);
      return true;
    }
    if (attempt == null) {
      headers.put("X-Not-Executed", "1");
      Http.write(out, "400 Bad Request", headers, new byte[0]);
      return true;
    }
    if (!free.tryAcquire()) {
      headers.put("X-Not-Executed", "1");
      Http.write(out, "503 Service Unavailable", headers, new byte[0]);
      return true;
    }
    running.incrementAndGet();
    try {
      listener.onRun(this, request);
      Thread.sleep(workMillis);
      headers.put("X-Replica-Signature", id + "." + attempt);
      String body = "done " + attempt + " by " + id + "\n";
      Http.write(out, "200 OK", headers, body.getBytes(StandardCharsets.UTF_8));
    } finally {
      running.decrementAndGet();
      free.release();
    }
    return !isGone;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
