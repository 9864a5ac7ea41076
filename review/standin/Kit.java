import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform's store, replicas and clients, and the start of entry processes. */
final class Kit {

  private Kit() {}

  static final long START = System.nanoTime();

  static long ms() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread spawn(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  /** The record of what was sent, answered and run. */
  static final class Record {
    private final PrintWriter out;

    Record(Path path) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(path));
    }

    synchronized void line(String format, Object... values) {
      out.printf(Locale.ROOT, "%7d ms  ", ms());
      out.printf(Locale.ROOT, format + "%n", values);
      out.flush();
    }
  }

  /** A message of HTTP/1.1. */
  static final class Message {
    String first = "";
    long headMillis;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    Map<String, String> query() {
      Map<String, String> values = new HashMap<>();
      int mark = target().indexOf('?');
      for (String pair : mark < 0 ? new String[0] : target().substring(mark + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        values.put(
            parts[0],
            parts.length < 2
                ? ""
                : java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
      return values;
    }
  }

  /** One side of a connection. */
  static final class Wire implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Wire(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream(), 65536);
      out = socket.getOutputStream();
    }

    static Wire connect(String address, int timeoutMillis) throws IOException {
      String[] parts = address.split(":");
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMillis);
      return new Wire(socket);
    }

    private String line() throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      int b;
      while ((b = in.read()) != '\n') {
        if (b < 0) {
          throw new EOFException("closed");
        }
        if (b != '\r') {
          bytes.write(b);
        }
      }
      return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the headers; null if the channel was closed before. */
    Message readHead() throws IOException {
      Message message = new Message();
      message.first = line();
      for (String line = line(); !line.isEmpty(); line = line()) {
        int colon = line.indexOf(':');
        message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
      }
      message.headMillis = ms();
      return message;
    }

    /** Reads the body; a response without a length ends with its channel. */
    void readBody(Message message, boolean isResponse) throws IOException {
      String length = message.header("content-length");
      if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] chunk = readChunk(); chunk.length > 0; chunk = readChunk()) {
          body.write(chunk);
        }
        message.body = body.toByteArray();
      } else if (length != null) {
        message.body = in.readNBytes(Integer.parseInt(length));
        if (message.body.length < Integer.parseInt(length)) {
          throw new EOFException("closed within the body");
        }
      } else if (isResponse) {
        message.body = in.readAllBytes();
      }
    }

    byte[] readChunk() throws IOException {
      int size = Integer.parseInt(line().split(";")[0].trim(), 16);
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("closed within a chunk");
      }
      line();
      return chunk;
    }

    Message read(boolean isResponse) throws IOException {
      Message message = readHead();
      readBody(message, isResponse);
      return message;
    }

    void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void write(String head, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      out.write(all.toByteArray());
      out.flush();
    }

    void respond(int status, String headers, byte[] body) throws IOException {
      write(
          "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n",
          body);
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // The channel is of no use any more.
      }
    }
  }

  /** Accepts connections and serves each on a thread of its own. */
  abstract static class Server {
    final String ip;
    final String address;
    volatile ServerSocket socket;
    final java.util.Set<Wire> wires = ConcurrentHashMap.newKeySet();

    Server(String ip) throws IOException {
      this.ip = ip;
      listen(0);
      address = ip + ":" + socket.getLocalPort();
    }

    private void listen(int port) throws IOException {
      ServerSocket opened = new ServerSocket();
      opened.setReuseAddress(true);
      opened.bind(new InetSocketAddress(ip, port), 1024);
      socket = opened;
      spawn(() -> accept(opened));
    }

    /** Closes the listening socket and resets all channels, as the end of the process does. */
    void shut() {
      try {
        socket.close();
        for (Wire wire : List.copyOf(wires)) {
          wire.reset();
        }
      } catch (IOException e) {
        // A channel that is closed already needs no reset.
      }
    }

    /** Listens at the same address again. */
    void reopen() {
      try {
        listen(Integer.parseInt(address.split(":")[1]));
      } catch (IOException e) {
        System.out.println("the address " + address + " is taken: " + e);
        end(2);
      }
    }

    private void accept(ServerSocket socket) {
      while (!socket.isClosed()) {
        try {
          Wire wire = new Wire(socket.accept());
          wires.add(wire);
          spawn(
              () -> {
                try (wire) {
                  while (true) {
                    serve(wire, wire.read(false));
                  }
                } catch (IOException | RuntimeException e) {
                  if (!(e instanceof IOException)) {
                    e.printStackTrace();
                  }
                } finally {
                  wires.remove(wire);
                }
              });
        } catch (IOException e) {
          return;
        }
      }
    }

    abstract void serve(Wire wire, Message request) throws IOException;
  }

  /** The platform's metadata store. */
  static final class Store extends Server {
    private record Stored(String table, String part, String key, String value, long version) {}

    private final Map<String, Stored> rows = new TreeMap<>();
    private final List<Stored> history = new ArrayList<>();
    private long version = 1;

    Store(String ip) throws IOException {
      super(ip);
    }

    private static String id(String table, String part, String key) {
      return table + "\0" + part + "\0" + key;
    }

    synchronized long put(String table, String key, String json) {
      String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
      write(table, "", key, value, ++version);
      return version;
    }

    synchronized void remove(String table, String key) {
      write(table, "", key, null, ++version);
    }

    private void write(String table, String part, String key, String value, long at) {
      Stored row = new Stored(table, part, key, value, at);
      if (value == null) {
        rows.remove(id(table, part, key));
      } else {
        rows.put(id(table, part, key), row);
      }
      history.add(row);
      notifyAll();
    }

    private static String text(Stored row) {
      return "{\"table\":\"" + row.table + "\",\"part\":\"" + row.part + "\",\"key\":\"" + row.key
          + "\"," + (row.value == null ? "\"removed\":true" : "\"value\":\"" + row.value + "\"")
          + ",\"ver\":" + row.version + "}";
    }

    private String tail() {
      return "\"ver\":" + version + ",\"now_ms\":" + (1000 + ms()) + "}";
    }

    @Override
    void serve(Wire wire, Message request) throws IOException {
      sleep(4);
      Map<String, String> query = request.query();
      String path = request.target().split("\\?")[0];
      String json = "Content-Type: application/json\r\n";
      switch (path) {
        case "/api/rows-get" -> wire.respond(200, json, get(query).getBytes(StandardCharsets.UTF_8));
        case "/api/rows-feed" -> wire.respond(200, json, feed(query).getBytes(StandardCharsets.UTF_8));
        case "/api/rows-tx" -> {
          String[] answer = transact(new String(request.body, StandardCharsets.UTF_8));
          wire.respond(Integer.parseInt(answer[0]), json, answer[1].getBytes(StandardCharsets.UTF_8));
        }
        default -> wire.respond(400, json, "{}".getBytes(StandardCharsets.UTF_8));
      }
    }

    private synchronized String get(Map<String, String> query) {
      StringBuilder found = new StringBuilder();
      int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
      int count = 0;
      boolean hasMore = false;
      for (Stored row : rows.values()) {
        boolean isIn =
            row.table.equals(query.get("table"))
                && row.part.equals(query.getOrDefault("part", ""))
                && row.key.compareTo(query.getOrDefault("from", "")) >= 0
                && (!query.containsKey("to") || row.key.compareTo(query.get("to")) < 0);
        if (isIn && count == limit) {
          hasMore = true;
        } else if (isIn) {
          found.append(count++ == 0 ? "" : ",").append(text(row));
        }
      }
      return "{\"rows\":[" + found + "],\"has_more\":" + hasMore + "," + tail();
    }

    private synchronized String feed(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long end = ms() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      while (true) {
        StringBuilder found = new StringBuilder();
        for (Stored row : history) {
          if (row.version > after && row.table.equals(query.get("table"))) {
            found.append(found.length() == 0 ? "" : ",").append(text(row));
          }
        }
        long left = end - ms();
        if (found.length() > 0 || left <= 0) {
          return "{\"rows\":[" + found + "]," + tail();
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    private static final Pattern OBJECT = Pattern.compile("\\{[^{}]*\\}");

    private static String field(String object, String name) {
      Matcher matcher = Pattern.compile("\"" + name + "\":(\"([^\"]*)\"|\\d+)").matcher(object);
      return matcher.find() ? (matcher.group(2) == null ? matcher.group(1) : matcher.group(2)) : "";
    }

    private static List<String> objects(String body, String list) {
      Matcher matcher = Pattern.compile("\"" + list + "\":\\[(.*?)\\]").matcher(body);
      List<String> objects = new ArrayList<>();
      if (matcher.find()) {
        Matcher each = OBJECT.matcher(matcher.group(1));
        while (each.find()) {
          objects.add(each.group());
        }
      }
      return objects;
    }

    private synchronized String[] transact(String body) {
      for (String row : objects(body, "expected")) {
        Stored stored = rows.get(id(field(row, "table"), field(row, "part"), field(row, "key")));
        if (Long.parseLong(field(row, "ver")) != (stored == null ? 0 : stored.version)) {
          return new String[] {"412", "{\"rows\":[]," + tail()};
        }
      }
      version++;
      for (String row : objects(body, "puts")) {
        write(field(row, "table"), field(row, "part"), field(row, "key"), field(row, "value"), version);
      }
      for (String row : objects(body, "remove")) {
        write(field(row, "table"), field(row, "part"), field(row, "key"), null, version);
      }
      return new String[] {"200", "{" + tail()};
    }
  }

  /** A replica of a plain service. */
  static class Replica extends Server {
    final String id;
    final String service;
    final String zone;
    final Store store;
    final Record record;
    final long born = System.currentTimeMillis();
    final int slots;
    volatile long workMillis;
    volatile String state = "ready";
    volatile boolean isRegistered = true;
    final java.util.concurrent.atomic.AtomicInteger running =
        new java.util.concurrent.atomic.AtomicInteger();
    final java.util.concurrent.atomic.AtomicLong sequence =
        new java.util.concurrent.atomic.AtomicLong();
    final ConcurrentLinkedQueue<String> runs = new ConcurrentLinkedQueue<>();

    Replica(String ip, String id, String service, String zone, int slots, long workMillis,
        Store store, Record record) throws IOException {
      super(ip);
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.slots = slots;
      this.workMillis = workMillis;
      this.store = store;
      this.record = record;
      register();
      spawn(
          () -> {
            while (true) {
              sleep(1200);
              register();
            }
          });
    }

    void register() {
      if (isRegistered) {
        store.put(
            "servers",
            id,
            "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":"
                + sequence.incrementAndGet() + "}");
      }
    }

    String load() {
      int busy = running.get();
      return Math.min(busy, slots) + "," + Math.max(0, busy - slots) + "," + slots;
    }

    @Override
    void serve(Wire wire, Message request) throws IOException {
      if (request.target().equals("/healthz")) {
        wire.respond(
            state.equals("ready") ? 200 : 503,
            "X-Replica-Id: " + id + "\r\nX-Replica-Load: " + load() + "\r\n",
            new byte[0]);
        return;
      }
      String attempt = request.header("x-attempt-id");
      String expected = request.header("x-expect-replica");
      if (expected != null && !expected.equals(id)) {
        wire.respond(421, "X-Replica-Id: " + id + "\r\n", new byte[0]);
        return;
      }
      answer(wire, request, attempt);
    }

    void answer(Wire wire, Message request, String attempt) throws IOException {
      running.incrementAndGet();
      try {
        runs.add(attempt);
        record.line("%s runs %s (%s, %d bytes)", id, attempt, request.first, request.body.length);
        sleep(workMillis);
      } finally {
        running.decrementAndGet();
      }
      wire.respond(
          200,
          "X-Attempt-Id: " + attempt + "\r\nX-Replica-Signature: s." + id + "\r\nX-Replica-Load: "
              + load() + "\r\nContent-Type: text/plain\r\n",
          ("answer to " + attempt).getBytes(StandardCharsets.UTF_8));
    }
  }

  /** A replica of a language service, which forms groups by the coordinator's orders. */
  static final class Engine extends Replica {
    final String domain;
    private final double loadSeconds;
    private String group = "";
    private String model = "";
    private long epoch;
    private int rank;
    private String phase = "";
    private String lastModel = "";
    private final java.util.Set<String> staged = new java.util.LinkedHashSet<>();
    private long orders;
    private long fence;
    private int life;
    private long bornAt = System.currentTimeMillis();
    private volatile boolean isDown;
    volatile long firstEventMillis = 60;
    volatile int events = 10;
    volatile long gapMillis = 40;
    volatile int silentAfter = -1;
    volatile long silentMillis = 1650;

    Engine(String ip, String id, String service, String zone, String domain, int slots,
        double loadSeconds, Store store, Record record) throws IOException {
      super(ip, id, service, zone, slots, 0, store, record);
      this.domain = domain;
      this.loadSeconds = loadSeconds;
      register();
    }

    private synchronized String about() {
      StringBuilder text = new StringBuilder("\"born\":" + bornAt + ",\"domain\":\"" + domain + "\",\"staged\":[");
      staged.forEach(s -> text.append(text.charAt(text.length() - 1) == '[' ? "" : ",").append("\"" + s + "\""));
      text.append("],\"stage\":\"hybrid\",\"models\":[");
      if (!lastModel.isEmpty()) {
        text.append("{\"name\":\"" + lastModel + "\",\"version\":1,\"adapters\":[]}");
      }
      text.append("]");
      if (!group.isEmpty()) {
        text.append(",\"group\":{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + rank
            + ",\"state\":\"" + phase + "\"}");
      }
      return text.toString();
    }

    @Override
    void register() {
      if (isRegistered && !isDown && domain != null) {
        store.put("servers", id,
            "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0," + about() + ",\"sequence\":" + sequence.incrementAndGet() + "}");
      }
    }

    synchronized boolean isOpen() {
      return phase.equals("open");
    }

    /** Ends the process without a notice; it is back with the same id after a time. */
    void crash(long downMillis) {
      isDown = true;
      record.line("%s crashes", id);
      synchronized (this) {
        life++;
        group = "";
        phase = "";
        lastModel = "";
        orders = 0;
        fence = 0;
      }
      shut();
      spawn(
          () -> {
            sleep(3600);
            if (isDown) {
              store.remove("servers", id);
            }
          });
      spawn(
          () -> {
            sleep(downMillis);
            bornAt = System.currentTimeMillis();
            reopen();
            isDown = false;
            record.line("%s is back", id);
            register();
          });
    }

    private static String text(String json, String name) {
      Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
      return matcher.find() ? matcher.group(1) : "";
    }

    private static long number(String json, String name, long other) {
      Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(json);
      return matcher.find() ? Long.parseLong(matcher.group(1)) : other;
    }

    private synchronized int order(String json) {
      if (number(json, "fencing_token", fence) < fence) {
        return 412;
      }
      if (number(json, "expected", orders) != orders) {
        return 409;
      }
      String op = text(json, "op");
      boolean isOwn = group.equals(text(json, "group")) && epoch == number(json, "epoch", -1);
      int answer;
      switch (op) {
        case "join" -> {
          if (number(json, "epoch", 0) < epoch && !group.isEmpty()) {
            return 412;
          }
          if (isOwn) {
            return 200;
          }
          List<String> members = new ArrayList<>();
          Matcher matcher = Pattern.compile("\"members\":\\[([^\\]]*)\\]").matcher(json);
          if (matcher.find()) {
            for (String member : matcher.group(1).split(",")) {
              members.add(member.replace("\"", "").trim());
            }
          }
          group = text(json, "group");
          epoch = number(json, "epoch", 0);
          model = text(json, "model");
          rank = members.indexOf(id);
          phase = "joining";
          long time = lastModel.equals(model) ? 200 : staged.contains(model) ? 1100 : (long) (loadSeconds * 1000);
          later(time, epoch, () -> {
            phase = "ready";
            lastModel = model;
            staged.clear();
            staged.add(model);
          });
          answer = 202;
        }
        case "open" -> {
          if (!isOwn || !phase.equals("ready") || rank != 0) {
            return isOwn && phase.equals("open") ? 200 : 409;
          }
          later(300, epoch, () -> phase = "open");
          answer = 202;
        }
        case "close" -> {
          if (!isOwn || !phase.equals("open")) {
            return isOwn && phase.equals("ready") ? 200 : 409;
          }
          phase = "closing";
          later(500, epoch, () -> phase = "ready");
          answer = 202;
        }
        case "leave" -> {
          if (!isOwn) {
            return 200;
          }
          group = "";
          phase = "";
          answer = 202;
        }
        case "stage" -> {
          String wanted = text(json, "model");
          later((long) (loadSeconds * 1000), epoch, () -> staged.add(wanted));
          answer = 202;
        }
        default -> {
          return 400;
        }
      }
      orders++;
      fence = Math.max(fence, number(json, "fencing_token", fence));
      spawn(this::register);
      return answer;
    }

    private void later(long millis, long atEpoch, Runnable change) {
      int atLife = life;
      spawn(
          () -> {
            sleep(millis);
            synchronized (this) {
              if (life == atLife && epoch == atEpoch && !group.isEmpty()) {
                change.run();
              }
            }
            register();
          });
    }

    @Override
    void serve(Wire wire, Message request) throws IOException {
      String path = request.target();
      String expected = request.header("x-expect-replica");
      if (expected != null && !expected.equals(id)) {
        wire.respond(421, "X-Replica-Id: " + id + "\r\n", new byte[0]);
      } else if (path.equals("/api/report")) {
        String report;
        synchronized (this) {
          report = "{" + about() + ",\"busy\":false,\"sequence\":" + orders + ",\"num_waiting\":0,\"num_running\":"
              + running.get() + ",\"kv_used\":0,\"kv_total\":1710000,\"handles\":0,\"pace\":1.0}";
        }
        wire.respond(200, "Content-Type: application/json\r\n", report.getBytes(StandardCharsets.UTF_8));
      } else if (path.equals("/api/order")) {
        int status = order(new String(request.body, StandardCharsets.UTF_8));
        wire.respond(status, "Content-Type: application/json\r\n", "{}".getBytes(StandardCharsets.UTF_8));
      } else {
        super.serve(wire, request);
      }
    }

    /** Streams the answer to a generation. */
    @Override
    void answer(Wire wire, Message request, String attempt) throws IOException {
      String now;
      synchronized (this) {
        now = phase;
      }
      if (!now.equals("open")) {
        wire.respond(now.isEmpty() || rank != 0 ? 421 : 503,
            "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", new byte[0]);
        return;
      }
      running.incrementAndGet();
      try {
        record.line("%s runs %s", id, attempt);
        runs.add(attempt);
        sleep(firstEventMillis);
        wire.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Replica-Signature: s." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = request.header("last-event-id");
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
          String event = "id: " + i + "\ndata: " + attempt + "-" + i + "\n\n";
          wire.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
          sleep(i == silentAfter ? silentMillis : gapMillis);
        }
        wire.write("0\r\n\r\n");
      } finally {
        running.decrementAndGet();
      }
    }
  }

  /** An entry process of the project, started as the deploy file says. */
  static final class Entry {
    final String ip;
    final String name;
    final String front;
    final String ready;
    final int[] internal;
    final Path settings;
    final Path log;
    Process process;

    Entry(Path folder, String ip, String name, String zone, List<String> zones, Store store,
        boolean isFirst) throws IOException {
      this.ip = ip;
      this.name = name;
      front = ip + ":" + freePort(ip);
      ready = ip + ":" + freePort(ip);
      int port = freePort(ip);
      internal = new int[] {port, port + 15};
      settings = folder.resolve(name + ".json");
      log = folder.resolve(name + ".log");
      StringBuilder zoneTable = new StringBuilder();
      for (String each : zones) {
        zoneTable.append(zoneTable.length() == 0 ? "" : ",").append("\"" + each + "\":\"r\"");
      }
      Files.writeString(
          settings,
          "{\"node_name\":\"" + name + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"serves\":[\"edge\"],"
              + "\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"r\",\"zones\":{" + zoneTable + "},"
              + "\"listen\":{\"front\":\"" + front + "\",\"ready_addr\":\"" + ready + "\"},"
              + "\"internal_ports\":[" + internal[0] + "," + internal[1] + "],\"seeds\":[],"
              + "\"bootstrap\":" + isFirst + ",\"tolerance_counted\":false,"
              + "\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,\"max_fds\":4100,"
              + "\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
              + "\"entry\":\"vip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
              + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"gangs\"],"
              + "\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
              + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_ms\":3000,\"ack_ms\":4000,"
              + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
              + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_skew_ms\":5000,"
              + "\"strict_revocation\":true,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
              + "\"budget_window_s\":10,\"budget_slack\":136,\"recovery_s\":12,\"pass_ms\":120,"
              + "\"retry_after_s\":0,\"stall_ms\":5000,\"fencing_required\":true,"
              + "\"ceiling_window_s\":5,\"ceiling_overshoot\":1.1},"
              + "\"platform\":{\"address\":\"" + store.address + "\",\"form\":\"table\",\"writes_per_s\":400,"
              + "\"reads_per_s\":2000,\"tx_ms\":8.0,\"partition_writes_s\":150,\"row_bytes\":65536,"
              + "\"across\":false,\"history_s\":20,\"blob_bytes\":8388608,\"blob_ms\":25.0,\"blob_mb_s\":80.0}}");
    }

    void start() throws IOException {
      String run = "";
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder(run.split(" "));
      Map<String, String> old = new LinkedHashMap<>(builder.environment());
      builder.environment().clear();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (old.containsKey(name)) {
          builder.environment().put(name, old.get(name));
        }
      }
      builder.environment().put("FIREFLYSHED_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    void signal(String name) throws IOException {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    int probe() {
      try (Wire wire = Wire.connect(ready, 1000)) {
        wire.socket.setSoTimeout(1000);
        wire.write("GET /api/readyz HTTP/1.1\r\nHost: " + ready + "\r\nConnection: close\r\n\r\n");
        return wire.read(true).status();
      } catch (IOException | RuntimeException e) {
        return 0;
      }
    }

    boolean awaitReady(long millis) {
      long end = ms() + millis;
      while (ms() < end) {
        if (probe() == 200) {
          return true;
        }
        sleep(100);
      }
      return false;
    }
  }

  static String route(String name, String prefix, String type, int timeout, int target,
      int attempts, String service, boolean isPublic, boolean isResumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"prefix\":\"" + prefix
        + "\",\"type\":\"" + type + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":"
        + target + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
        + ",\"public\":" + isPublic + ",\"sticky\":false,\"resumable\":" + isResumable
        + (type.equals("streaming") ? ",\"target_gap_ms\":250" : "") + "}";
  }

  static String manifest(int version, List<String> routes, List<String> services,
      List<String> keys) {
    StringBuilder keyList = new StringBuilder();
    keys.forEach(k -> keyList.append(keyList.length() == 0 ? "" : ",").append("\"" + k + "\""));
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[" + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[" + keyList + "],\"priority\":1}]}";
  }

  static String service(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }

  static String engineService(String name, String model, int size) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":474,\"protocol\":\"h1\","
        + "\"tls\":false,\"engine\":{\"slots\":18,\"kv_capacity\":1710000,\"kv_token_bytes\":50752,"
        + "\"link_mbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\"" + model + "\",\"size\":" + size
        + ",\"share\":1.0,\"pace\":1.0,\"load_s\":12.0,\"warmup_s\":1.1}],\"step_ms\":6.45,\"per_seq_ms\":0.14,"
        + "\"context_per_k\":0.0042,\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,"
        + "\"report_lag_ms\":200.0,\"loads_per_s\":5.5,\"loads_at_once\":8,\"delays\":[],"
        + "\"usual\":{\"prompt\":1115,\"answer\":152},\"retain_count\":1,\"far_x\":3.0,\"form_ms\":300.0}}";
  }

  /** Ends with 2 after any unexpected failure and before the longest time of a case is over. */
  static void begin() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> {
          error.printStackTrace(System.out);
          end(2);
        });
    spawn(
        () -> {
          sleep(115_000);
          System.out.println("the case took too long");
          end(2);
        });
  }

  static void end(int code) {
    System.exit(code);
  }
}
