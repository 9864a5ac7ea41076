package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** The only group of a model crashes three times at a quiet time; later all processes are killed. */
final class CrashesInTurn {

  private static final String ZONE = "zone-a";
  private static final String MODEL = "m0";
  private static final int SIZE = 3;
  private static final long DOWN_MS = 4500;
  private static final long KILLED_MS = 850;
  private static final long RECOVERY_MS = 12_000;
  private static final int REQUESTS = 12;

  private final Lab lab;
  private int sent;
  private int served;
  private final ExecutorService clients = Executors.newCachedThreadPool(Http::newDaemon);
  private final List<Lab.Entry> entries = new ArrayList<>();
  private Engine.Fleet fleet;

  private CrashesInTurn(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new CrashesInTurn(lab).run());
  }

  private int run() throws Exception {
    Store store = new Store();
    store.put("op", "config", LeaseRestored.manifest(7));
    fleet = new Engine.Fleet(lab, store);
    fleet.loadSeconds.put(MODEL, 2.0);
    for (int i = 1; i <= SIZE; i++) {
      new Engine(fleet, "i-" + i, "llm", ZONE, "domain-1");
    }
    for (int i = 1; i <= 2; i++) {
      String address = store.open("entry-" + i, lab.newAddress());
      entries.add(lab.startEntry("entry-" + i, ZONE, address, List.of(ZONE), true));
    }
    for (Lab.Entry entry : entries) {
      lab.awaitReady(entry);
    }
    awaitOpen();
    lab.note("served before the crashes: " + call(REQUESTS) + " and " + call(REQUESTS));
    for (int i = 0; i < 3; i++) {
      awaitOpen();
      lab.note("quiet for 11 s");
      Lab.sleep(11_000);
      fleet.firstEventMillis = 400;
      Future<Integer> interrupted = clients.submit(() -> call(2));
      Engine head = findHead();
      for (int wait = 0; head.countRunning() < 2 && wait < 100; wait++) {
        Lab.sleep(5);
      }
      lab.note(head.countRunning() + " requests wait for their first events at " + head.id);
      if (lab.isTrouble) {
        lab.note(head.id + " crashes and is down for " + DOWN_MS + " ms");
        head.crash(DOWN_MS);
      }
      fleet.firstEventMillis = 0;
      lab.note("served of the two: " + interrupted.get());
      Lab.sleep(lab.isTrouble ? DOWN_MS : 0);
    }
    awaitOpen();
    Lab.sleep(3000);
    lab.note("served before the final fault: " + call(REQUESTS));
    int sentBefore = sent;
    int servedBefore = served;
    lab.note("served before the final fault in all: " + servedBefore + " of " + sentBefore);
    store.put("op", "config", LeaseRestored.manifest(8));
    lab.note("a manifest is acknowledged; final fault: all processes are killed");
    for (Lab.Entry entry : List.copyOf(entries)) {
      lab.signal(entry, "KILL");
    }
    Lab.sleep(KILLED_MS);
    for (Lab.Entry entry : List.copyOf(entries)) {
      entry.process.waitFor();
      Lab.Entry started = lab.restartEntry(entry);
      entries.set(entries.indexOf(entry), started);
    }
    for (Lab.Entry entry : entries) {
      lab.awaitReady(entry);
    }
    Lab.sleep(RECOVERY_MS);
    int after = call(REQUESTS);
    lab.note("served after the final fault: " + after + " of " + REQUESTS);
    boolean isBroken = 4 * after < REQUESTS && 4 * servedBefore >= sentBefore;
    return isBroken ? Lab.BROKEN : Lab.HELD;
  }

  private Engine findHead() {
    return fleet.engines.values().stream()
        .filter(e -> e.getGroup() != null && e.getGroup().state().equals("open"))
        .findFirst()
        .orElseThrow();
  }

  private void awaitOpen() throws Exception {
    long end = lab.millis() + 30_000;
    while (fleet.engines.values().stream()
        .map(Engine::getGroup)
        .noneMatch(g -> g != null && g.state().equals("open"))) {
      if (lab.millis() > end) {
        throw new IllegalStateException("no group is open");
      }
      Lab.sleep(20);
    }
    Lab.sleep(1000);
  }

  /** Sends requests with a common first part, one a client, and returns how many are served. */
  private int call(int count) throws Exception {
    List<Callable<Integer>> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Lab.Entry entry = entries.get(i % entries.size());
      calls.add(() -> callOnce(entry));
    }
    int whole = 0;
    for (Future<Integer> status : clients.invokeAll(calls)) {
      whole += status.get() == 200 ? 1 : 0;
    }
    sent += count;
    served += whole;
    return whole;
  }

  private int callOnce(Lab.Entry entry) {
    String id = lab.newId();
    int status = 0;
    String text = "";
    try (Socket socket = Lab.connect(entry.ip, entry.front)) {
      socket.setSoTimeout(8000);
      String head =
          Lab.head("POST", "/card/" + id, "shop.example", id, "key-1", 8000)
              + "X-Model: m0\r\nX-Token-Usage: 700,120\r\nX-Prompt-Prefix: 5c1e07a2:40,"
              + id + ":660\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      Http.Message answer = Http.read(socket.getInputStream(), true);
      status = answer.status();
      text = status == 200 ? "" : answer.headers().get("Retry-After") + " " + answer.text().trim();
    } catch (IOException e) {
      text = e.toString();
    }
    lab.note(id + " at " + entry.name + ": " + status + " " + text);
    return status;
  }
}
