package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica leaves and says so in its answers while the store turns one machine away. */
final class LeavingUnseen {

  private static final String SERVICE = "desk";
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final String KEY = "key-1";
  private static final long OUTAGE_MS = 9000;
  /** The replica serves a little longer than it must. */
  private static final long STAY_MS = Bounds.DRAIN_MS + 1000;
  private static final long PAUSE_MS = 70;
  private static final int CLIENTS = 4;

  /** One request, with the times at which it was sent, reached a replica and was answered. */
  private static final class Sent {
    volatile String entry;
    volatile long sentMillis;
    volatile String replica = "-";
    volatile long runMillis = -1;
    volatile long answerMillis = -1;
    volatile int status = -1;
    volatile boolean isLeaving;
  }

  private final Lab lab;
  private final Map<String, Sent> requests = new ConcurrentHashMap<>();
  private volatile boolean isOver;

  private LeavingUnseen(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new LeavingUnseen(lab).run());
  }

  static Object manifest(long version, String... services) {
    List<Object> routes = new ArrayList<>();
    List<Object> profiles = new ArrayList<>();
    for (String service : services) {
      routes.add(
          Json.of(
              "name", "r-order-" + service,
              "host", "shop.example",
              "prefix", "/order/",
              "type", "non_idempotent",
              "timeout_ms", 4000L,
              "target_latency_ms", 386L,
              "priority", 2L,
              "service", service,
              "max_attempts", 2L,
              "public", false));
      profiles.add(
          Json.of(
              "name", service,
              "health_path", "/healthz",
              "max_connections", 110L,
              "protocol", "h1",
              "tls", false));
    }
    return Json.of(
        "version", version,
        "routes", routes,
        "services", profiles,
        "limits",
            Json.of(
                "max_header_bytes", 16384L,
                "max_body_bytes", 4194304L,
                "header_timeout_ms", 3000L,
                "idle_timeout_ms", 15000L),
        "tenants", List.of(Json.of("name", "t1", "api_keys", List.of(KEY), "priority", 1L)));
  }

  private int run() throws Exception {
    try (Store store = new Store()) {
      store.put("op", "config", manifest(7, SERVICE));
      List<Replica> replicas = new ArrayList<>();
      for (String zone : ZONES) {
        Replica replica =
            new Replica(
                "i-" + zone, SERVICE, zone, lab.newAddress(), 6, 86, (r, q) -> onRun(r, q));
        replicas.add(replica);
        store.put("servers", replica.id, replica.entry(1));
      }
      List<Lab.Entry> entries = new ArrayList<>();
      for (String zone : ZONES) {
        String name = "entry-" + zone;
        String address = store.open(name, lab.newAddress());
        entries.add(lab.startEntry(name, zone, address, ZONES, true));
      }
      for (Lab.Entry entry : entries) {
        lab.awaitReady(entry);
      }
      for (Lab.Entry entry : entries) {
        callAgainAndAgain(entry);
      }
      Lab.sleep(5000);
      String turnedAway = entries.get(0).name;
      if (lab.isTrouble) {
        lab.note("the store gives no answer to " + turnedAway + " for " + OUTAGE_MS + " ms");
        store.setAccess(turnedAway, Store.Access.SILENT);
      }
      Lab.sleep(300);
      Replica leaving = replicas.get(1);
      leaving.leave();
      store.put("servers", leaving.id, leaving.entry(2));
      long leavingMillis = lab.millis();
      lab.note("the store has accepted that " + leaving.id + " is draining");
      Lab.sleep(STAY_MS);
      lab.note(leaving.id + " ends");
      leaving.end();
      store.remove("servers", leaving.id);
      Lab.sleep(leavingMillis + OUTAGE_MS - 300 - lab.millis());
      if (lab.isTrouble) {
        lab.note("the store answers " + turnedAway + " again");
      }
      store.setAccess(turnedAway, Store.Access.OK);
      Lab.sleep(1000);
      isOver = true;
      Lab.sleep(500);
      return judge(entries, leaving);
    }
  }

  private void onRun(Replica replica, Http.Message request) {
    Sent sent = requests.get(request.header("X-Attempt-Id"));
    if (sent != null) {
      sent.replica = replica.id;
      sent.runMillis = lab.millis();
    }
  }

  /** Sends orders from some clients of a machine, each order on a new channel. */
  private void callAgainAndAgain(Lab.Entry entry) {
    for (int i = 0; i < CLIENTS; i++) {
      Http.start(
          () -> {
            while (!isOver) {
              Sent sent = new Sent();
              String id = lab.newId();
              requests.put(id, sent);
              sent.entry = entry.name;
              sent.sentMillis = lab.millis();
              Lab.Answer answer = lab.call(entry, "POST", "/order/1", id, KEY, 4000, "order");
              sent.status = answer.status();
              sent.isLeaving = answer.header("Server-Leaving").equals("1");
              sent.answerMillis = lab.millis();
              try {
                Lab.sleep(PAUSE_MS);
              } catch (InterruptedException e) {
                return;
              }
            }
          });
    }
  }

  private int judge(List<Lab.Entry> entries, Replica leaving) {
    requests.entrySet().stream()
        .sorted((a, b) -> Long.compare(a.getValue().sentMillis, b.getValue().sentMillis))
        .forEach(
            e -> {
              Sent s = e.getValue();
              lab.log(
                  String.format(
                      "%s sent %6d ms to %s, run %6d ms at %s, answered %6d ms with %d%s",
                      e.getKey(), s.sentMillis, s.entry, s.runMillis, s.replica, s.answerMillis,
                      s.status, s.isLeaving ? ", Server-Leaving" : ""));
            });
    int broken = 0;
    for (Lab.Entry entry : entries) {
      long passedOn =
          requests.values().stream()
              .filter(s -> s.entry.equals(entry.name) && s.isLeaving)
              .mapToLong(s -> s.answerMillis)
              .min()
              .orElse(Long.MAX_VALUE / 2);
      AtomicInteger late = new AtomicInteger();
      Map<Integer, Integer> statuses = new TreeMap<>();
      requests.values().stream()
          .filter(s -> s.entry.equals(entry.name) && s.replica.equals(leaving.id))
          .filter(s -> s.sentMillis > passedOn + Bounds.DRAIN_MS)
          .forEach(
              s -> {
                late.incrementAndGet();
                statuses.merge(s.status, 1, Integer::sum);
              });
      broken += late.get();
      lab.note(
          entry.name
              + ": the first answer with Server-Leaving at "
              + (passedOn > Long.MAX_VALUE / 4 ? "-" : passedOn + " ms")
              + "; requests sent over "
              + Bounds.DRAIN_MS
              + " ms later that reached "
              + leaving.id
              + ": "
              + late
              + ", by status "
              + statuses);
    }
    return broken > 0 ? Lab.BROKEN : Lab.HELD;
  }
}
