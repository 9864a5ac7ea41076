package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The store comes back from a copy that is older than the last hand-over of the coordinator. */
final class LeaseRestored {

  private static final String SERVICE = "llm";
  private static final String ZONE = "zone-a";
  private static final String MODEL = "m0";
  private static final int SIZE = 3;
  private static final double LOAD_S = 3.0;

  private final Lab lab;
  private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
  private final List<Lab.Entry> entries = new ArrayList<>();
  private Store store;
  private Engine.Fleet fleet;
  private volatile boolean isOver;
  private int lastEngine;

  private LeaseRestored(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new LeaseRestored(lab).run());
  }

  static Object manifest(long version) {
    Map<String, Object> engine =
        Json.of(
            "slots", 18L,
            "kv_capacity", 1710000L,
            "stride", 6L,
            "models",
                List.of(
                    Json.of(
                        "name", MODEL,
                        "size", (long) SIZE,
                        "share", 1.0,
                        "pace", 1.0,
                        "load_s", LOAD_S,
                        "warmup_s", 1.0)),
            "step_ms", 6.45,
            "per_seq_ms", 0.14,
            "context_per_k", 0.0042,
            "read_per_s", 56100.0,
            "pairs_per_m", 0.309,
            "chunk", 2048L,
            "report_lag_ms", 200.0,
            "loads_per_s", 5.5,
            "loads_at_once", 8L,
            "usual", Json.of("prompt", 1115L, "answer", 152L),
            "retain_count", 1L,
            "far_x", 3.0,
            "form_ms", 300.0);
    return Json.of(
        "version", version,
        "routes",
            List.of(
                Json.of(
                    "name", "r-card",
                    "host", "shop.example",
                    "prefix", "/card/",
                    "type", "streaming",
                    "timeout_ms", 8000L,
                    "target_latency_ms", 400L,
                    "priority", 1L,
                    "service", SERVICE,
                    "max_attempts", 2L,
                    "public", false,
                    "sticky", true,
                    "resumable", true,
                    "target_gap_ms", 250L)),
        "services",
            List.of(
                Json.of(
                    "name", SERVICE,
                    "health_path", "/healthz",
                    "max_connections", 474L,
                    "protocol", "h1",
                    "tls", false,
                    "engine", engine)),
        "limits",
            Json.of(
                "max_header_bytes", 16384L,
                "max_body_bytes", 4194304L,
                "header_timeout_ms", 3000L,
                "idle_timeout_ms", 15000L),
        "tenants", List.of(Json.of("name", "t1", "api_keys", List.of("key-1"), "priority", 1L)));
  }

  private int run() throws Exception {
    store = new Store();
    store.put("op", "config", manifest(7));
    fleet = new Engine.Fleet(lab, store);
    fleet.loadSeconds.put(MODEL, LOAD_S);
    addEngines(SIZE);
    for (int i = 0; i < 3; i++) {
      String name = "entry-" + (i + 1);
      String address = store.open(name, lab.newAddress());
      entries.add(lab.startEntry(name, ZONE, address, List.of(ZONE), true));
      if (i == 0) {
        // The first one becomes the coordinator.
        lab.awaitReady(entries.get(0));
        awaitLease(1);
      }
    }
    for (Lab.Entry entry : entries) {
      lab.awaitReady(entry);
    }
    awaitOpen(1, 20_000);
    Http.start(this::callAgainAndAgain);
    Lab.sleep(4000);

    Store.Copy copy = store.copy();
    long copyMillis = lab.millis();
    lab.note("the store is copied; its leases: " + store.getTable("leases"));
    Lab.Entry first = findCoordinator();
    lab.signal(first, "TERM");
    awaitLease(2);
    Lab.Entry second = findCoordinator();
    lab.note("planned work: " + SIZE + " empty replicas are added");
    addEngines(SIZE);
    awaitJoins(2 * SIZE);
    if (lab.isTrouble) {
      lab.note("the store is away for a moment");
      setAccess(Store.Access.SILENT);
      Lab.sleep(500);
      store.restore(copy);
      store.put("op", "config", manifest(7));
      fleet.beat();
      setAccess(Store.Access.OK);
      lab.note("the store is back from a copy of " + (lab.millis() - copyMillis) + " ms ago");
    } else {
      Lab.sleep(500);
    }
    lab.signal(second, "TERM");
    Lab.sleep(500);
    restart(first);
    Lab.sleep(6000);
    restart(second);
    awaitOpen(2, 20_000);
    lab.note("leases: " + store.getTable("leases"));
    lab.note("planned work: " + SIZE + " empty replicas are added");
    addEngines(SIZE);
    awaitOpen(3, 30_000);
    Lab.sleep(2000);
    Engine leaving = fleet.engines.get("i-" + lastEngine);
    lab.note("planned work: " + leaving.id + " drains and leaves");
    leaving.drain();
    Lab.sleep(Bounds.DRAIN_MS + 4000);
    leaving.end();
    Lab.sleep(6000);
    isOver = true;
    Lab.sleep(500);
    lab.note("leases: " + store.getTable("leases"));
    lab.note("streams by outcome: " + new TreeMap<>(statuses));
    lab.note("joins that broke the rule TWO: " + fleet.broken.size());
    return fleet.broken.isEmpty() ? Lab.HELD : Lab.BROKEN;
  }

  private void addEngines(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      new Engine(fleet, "i-" + ++lastEngine, SERVICE, ZONE, "domain-1");
    }
  }

  private void setAccess(Store.Access access) {
    entries.forEach(e -> store.setAccess(e.name, access));
  }

  /** Starts the entry of a machine again, at the same addresses and with the same settings. */
  private void restart(Lab.Entry stopped) throws Exception {
    stopped.process.waitFor();
    int index = entries.indexOf(stopped);
    Lab.Entry started = lab.restartEntry(stopped);
    entries.set(index, started);
    lab.awaitReady(started);
  }

  private Map<String, Object> getLease() {
    String text = store.getTable("leases").get(ZONE + "/epoch");
    return text == null ? Map.of() : Json.map(Json.parse(text));
  }

  private void awaitLease(long epoch) throws Exception {
    await(
        "a lease of epoch " + epoch,
        10_000,
        () ->
            getLease().get("epoch") instanceof Long e
                && e == epoch
                && !getLease().get("attempt").equals("released"));
    lab.note("the lease: " + getLease());
  }

  private Lab.Entry findCoordinator() {
    String attempt = (String) getLease().get("attempt");
    return entries.stream().filter(e -> attempt.startsWith(e.name + ".")).findFirst().orElseThrow();
  }

  private void awaitOpen(int count, long millis) throws Exception {
    await(count + " open groups", millis, () -> countOpen() >= count);
    lab.note("open groups: " + countOpen());
  }

  private long countOpen() {
    return fleet.engines.values().stream()
        .map(Engine::getGroup)
        .filter(g -> g != null && g.state().equals("open"))
        .count();
  }

  private void awaitJoins(int count) throws Exception {
    await(
        count + " members of groups",
        15_000,
        () ->
            fleet.engines.values().stream()
                    .map(Engine::getGroup)
                    .filter(g -> g != null && g.members().size() == SIZE)
                    .count()
                >= count);
  }

  private interface Condition {
    boolean isMet();
  }

  private void await(String what, long millis, Condition condition) throws Exception {
    long end = lab.millis() + millis;
    while (!condition.isMet()) {
      if (lab.millis() > end) {
        throw new IllegalStateException("there are not " + what + " after " + millis + " ms");
      }
      Lab.sleep(20);
    }
  }

  private void callAgainAndAgain() {
    for (int i = 0; i < 4; i++) {
      Http.start(
          () -> {
            while (!isOver) {
              Lab.Entry entry = entries.get(lab.random.nextInt(entries.size()));
              statuses.merge(callOnce(entry), 1, Integer::sum);
            }
          });
    }
  }

  private String callOnce(Lab.Entry entry) {
    try (java.net.Socket socket = Lab.connect(entry.ip, entry.front)) {
      socket.setSoTimeout(8000);
      String head =
          Lab.head("POST", "/card/1", "shop.example", lab.newId(), "key-1", 8000)
              + "X-Model: " + MODEL + "\r\nX-Token-Usage: 700,120\r\n"
              + "X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:660\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      return "" + Http.read(socket.getInputStream(), true).status();
    } catch (java.io.IOException e) {
      try {
        Lab.sleep(100);
      } catch (InterruptedException i) {
        Thread.currentThread().interrupt();
      }
      return "no whole answer";
    }
  }
}
