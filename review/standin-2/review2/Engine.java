package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A model replica that joins groups by orders. Its state is guarded by the fleet. */
final class Engine implements AutoCloseable {

  /** What a member knows of its group. */
  record Group(String name, long epoch, String model, List<String> members, String state) {
    Group with(String newState) {
      return new Group(name, epoch, model, members, newState);
    }

    boolean isSame(Group other) {
      return other != null
          && name.equals(other.name)
          && epoch == other.epoch
          && members.equals(other.members);
    }
  }

  /** All engines, which share a lock and know each other. */
  static final class Fleet {
    final Map<String, Engine> engines = new LinkedHashMap<>();
    final Map<String, Double> loadSeconds = new LinkedHashMap<>();
    final List<String> broken = new ArrayList<>();
    volatile long firstEventMillis;
    final Lab lab;
    final Store store;
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Http::newDaemon);

    Fleet(Lab lab, Store store) {
      this.lab = lab;
      this.store = store;
      timer.scheduleWithFixedDelay(this::beat, 1200, 1200, TimeUnit.MILLISECONDS);
    }

    /** Writes the entries of all replicas, as every ping interval and after a lost write. */
    synchronized void beat() {
      engines.values().stream().filter(e -> !e.isGone).forEach(Engine::register);
    }
  }

  private static final double WARMUP_S = 1.0;
  private static final double REJOIN_S = 0.2;
  private static final long FORM_MS = 300;
  private static final long STALL_MS = 5000;
  private static final long EVENT_MS = 60;
  private static final int EVENTS = 20;

  final String id;
  private final Fleet fleet;
  private final String service;
  private final String zone;
  private final String domain;
  private final long born = System.currentTimeMillis();
  private final Http.Server server;
  private long sequence;
  private long beats;
  private long fence;
  private long lastEpoch;
  private String lastModel = "";
  private String staged;
  private boolean isBusy;
  private boolean isDraining;
  private boolean isGone;
  private Group group;
  private int running;

  Engine(Fleet fleet, String id, String service, String zone, String domain) throws IOException {
    this(fleet, id, service, zone, domain, "");
  }

  private Engine(
      Fleet fleet, String id, String service, String zone, String domain, String staged)
      throws IOException {
    this.staged = staged;
    this.fleet = fleet;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.domain = domain;
    this.server = new Http.Server(fleet.lab.newAddress(), this::handle);
    synchronized (fleet) {
      fleet.engines.put(id, this);
      register();
    }
  }

  private void register() {
    Map<String, Object> entry =
        Json.of(
            "service", service,
            "address", server.address(),
            "zone", zone,
            "version", "v1",
            "slots", 18L,
            "state", isDraining ? "draining" : "ready",
            "cold_remaining_ms", 0L,
            "stage", "hybrid",
            "models", List.of(),
            "sequence", ++beats,
            "born", born);
    addGroup(entry);
    fleet.store.put("servers", id, entry);
  }

  private void addGroup(Map<String, Object> entry) {
    entry.put("domain", domain);
    entry.put("staged", staged.isEmpty() ? List.of() : List.of(staged));
    if (group != null) {
      entry.put(
          "group",
          Json.of(
              "name", group.name(),
              "epoch", group.epoch(),
              "rank", (long) group.members().indexOf(id),
              "state", group.state()));
    }
  }

  Group getGroup() {
    synchronized (fleet) {
      return group;
    }
  }

  /** Begins to leave as in planned work. */
  void drain() {
    synchronized (fleet) {
      isDraining = true;
      register();
    }
  }

  /** Ends the engine at once; it starts again later, with the same id and what its host keeps. */
  void crash(long downMillis) throws IOException {
    synchronized (fleet) {
      isGone = true;
      running = 0;
    }
    server.close();
    fleet.timer.schedule(
        () -> new Engine(fleet, id, service, zone, domain, staged),
        downMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the number of requests that wait for their first event or run. */
  int countRunning() {
    synchronized (fleet) {
      return running;
    }
  }

  /** Ends the engine and its entry. */
  void end() throws IOException {
    synchronized (fleet) {
      isGone = true;
      fleet.store.remove("servers", id);
    }
    server.close();
  }

  private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Replica-Id", id);
    String expected = request.header("X-Expect-Replica");
    String attempt = request.header("X-Attempt-Id");
    if (attempt != null) {
      headers.put("X-Attempt-Id", attempt);
    }
    if (expected != null && !expected.equals(id)) {
      Http.write(out, "421 Misdirected Request", headers, new byte[0]);
      return true;
    }
    switch (request.target()) {
      case "/healthz" -> Http.write(out, "200 OK", headers, new byte[0]);
      case "/api/report" -> {
        headers.put("Content-Type", "application/json");
        Http.write(out, "200 OK", headers, report().getBytes(StandardCharsets.UTF_8));
      }
      case "/api/order" -> {
        String status = order(Json.map(Json.parse(request.text())));
        Http.write(out, status, headers, "{}".getBytes(StandardCharsets.UTF_8));
      }
      default -> serve(headers, attempt, out);
    }
    return true;
  }

  private String report() {
    synchronized (fleet) {
      Map<String, Object> report =
          Json.of(
              "stage", "hybrid",
              "models", List.of(),
              "busy", isBusy,
              "sequence", sequence,
              "num_waiting", 0L,
              "num_running", (long) running,
              "kv_used", 0L,
              "kv_total", 1710000L,
              "handles", 0L,
              "pace", 1.0,
              "born", born);
      addGroup(report);
      return Json.write(report);
    }
  }

  private String order(Map<String, Object> order) {
    synchronized (fleet) {
      long token = ((Number) order.getOrDefault("fencing_token", 0L)).longValue();
      String op = (String) order.get("op");
      String text = op + " " + order.getOrDefault("group", "") + " token " + token;
      if (token < fence) {
        return log(text, "412 Precondition Failed");
      }
      fence = token;
      if (order.get("expected") instanceof Number n && n.longValue() != sequence) {
        return log(text, "409 Conflict");
      }
      Function<Map<String, Object>, String> handler =
          switch (op) {
            case "join" -> this::join;
            case "open" -> this::open;
            case "close" -> this::close;
            case "leave" -> this::leave;
            case "stage" -> this::stage;
            default -> o -> "400 Bad Request";
          };
      String status = handler.apply(order);
      if (status.startsWith("202")) {
        sequence++;
        register();
      }
      return log(text + (op.equals("join") ? " " + order.get("members") : ""), status);
    }
  }

  private String log(String text, String status) {
    fleet.lab.note(id + ": " + text + " -> " + status.substring(0, 3));
    return status;
  }

  private boolean isOfGroup(Map<String, Object> order) {
    return group != null
        && group.name().equals(order.get("group"))
        && group.epoch() == ((Number) order.get("epoch")).longValue();
  }

  private String join(Map<String, Object> order) {
    long epoch = ((Number) order.get("epoch")).longValue();
    List<String> members = Json.list(order.get("members")).stream().map(m -> (String) m).toList();
    Group joined =
        new Group((String) order.get("group"), epoch, (String) order.get("model"), members, "joining");
    if (epoch < lastEpoch || isOfGroup(order) && !members.equals(group.members())) {
      return "412 Precondition Failed";
    }
    if (joined.isSame(group)) {
      return "200 OK";
    }
    judge(joined);
    lastEpoch = epoch;
    group = joined;
    double seconds = fleet.loadSeconds.get(joined.model());
    if (lastModel.equals(joined.model())) {
      seconds = REJOIN_S;
    } else if (staged.equals(joined.model())) {
      seconds = WARMUP_S;
    }
    lastModel = "";
    isBusy = true;
    after(seconds * 1000, joined, "joining", "ready");
    return "202 Accepted";
  }

  /** Tests the rule TWO: the engine takes a join while the head of its group is open or closing. */
  private void judge(Group joined) {
    if (group == null) {
      return;
    }
    Engine head = fleet.engines.get(group.members().get(0));
    boolean isServing =
        head != null
            && !head.isGone
            && group.isSame(head.group)
            && (head.group.state().equals("open") || head.group.state().equals("closing"));
    if (isServing) {
      fleet.broken.add(
          id + " takes a join of " + joined.name() + joined.members() + " while " + head.id
              + ", the head of its group " + group.name() + group.members() + ", is "
              + head.group.state() + " and runs " + head.running + " requests");
      fleet.lab.note("TWO: " + fleet.broken.get(fleet.broken.size() - 1));
    }
  }

  /** Changes the state of a group later, if the engine is still in it and in the given state. */
  private void after(double millis, Group target, String before, String state) {
    fleet.timer.schedule(
        () -> {
          synchronized (fleet) {
            if (isGone || !target.isSame(group) || !group.state().equals(before)) {
              return;
            }
            group = group.with(state);
            isBusy = false;
            if (state.equals("ready") && before.equals("joining")) {
              lastModel = group.model();
              staged = group.model();
            }
            if (state.equals("open")) {
              fleet.lab.note(id + " is the open head of " + group.name() + group.members());
            }
            register();
          }
        },
        (long) millis,
        TimeUnit.MILLISECONDS);
  }

  private String open(Map<String, Object> order) {
    if (!isOfGroup(order) || !group.members().get(0).equals(id)) {
      return "409 Conflict";
    }
    if (group.state().equals("open")) {
      return "200 OK";
    }
    if (!group.state().equals("ready")) {
      return "409 Conflict";
    }
    after(FORM_MS, group, "ready", "open");
    watch(group);
    return "202 Accepted";
  }

  /** Breaks the group some time after a member has left it. */
  private void watch(Group watched) {
    fleet.timer.schedule(
        () -> {
          synchronized (fleet) {
            if (isGone || !watched.isSame(group)) {
              return;
            }
            boolean isWhole =
                watched.members().stream()
                    .map(fleet.engines::get)
                    .allMatch(e -> !e.isGone && watched.isSame(e.group));
            if (isWhole) {
              watch(watched);
            } else if (!group.state().equals("broken")) {
              after(STALL_MS, group, group.state(), "broken");
            }
          }
        },
        100,
        TimeUnit.MILLISECONDS);
  }

  private String close(Map<String, Object> order) {
    if (!isOfGroup(order) || !group.state().equals("open")) {
      return "409 Conflict";
    }
    group = group.with("closing");
    endClosing();
    return "202 Accepted";
  }

  private void endClosing() {
    if (group != null && group.state().equals("closing") && running == 0) {
      after(1, group, "closing", "ready");
    }
  }

  private String leave(Map<String, Object> order) {
    if (!isOfGroup(order)) {
      return "200 OK";
    }
    group = null;
    isBusy = false;
    return "202 Accepted";
  }

  private String stage(Map<String, Object> order) {
    String model = (String) order.get("model");
    if (staged.equals(model)) {
      return "200 OK";
    }
    isBusy = true;
    fleet.timer.schedule(
        () -> {
          synchronized (fleet) {
            staged = model;
            isBusy = false;
            register();
          }
        },
        (long) (fleet.loadSeconds.get(model) * 1000),
        TimeUnit.MILLISECONDS);
    return "202 Accepted";
  }

  private void serve(Map<String, String> headers, String attempt, OutputStream out)
      throws Exception {
    Group serving;
    synchronized (fleet) {
      serving = group;
      if (group == null || !group.state().equals("open")) {
        headers.put("X-Not-Executed", "1");
        headers.put("At-Server", id);
      } else {
        running++;
      }
    }
    if (headers.containsKey("X-Not-Executed")) {
      Http.write(out, "503 Service Unavailable", headers, new byte[0]);
      return;
    }
    try {
      StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
      headers.put("X-Replica-Signature", id + "." + attempt);
      headers.put("Content-Type", "text/event-stream");
      headers.put("Transfer-Encoding", "chunked");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      Thread.sleep(fleet.firstEventMillis);
      for (int i = 1; i <= EVENTS; i++) {
        Thread.sleep(EVENT_MS);
        synchronized (fleet) {
          if (isGone || !serving.isSame(group)) {
            throw new IOException("the group has ended");
          }
        }
        String event = "id: " + i + "\ndata: " + attempt + " " + i + "\n\n";
        String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
        out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    } finally {
      synchronized (fleet) {
        running--;
        endClosing();
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
