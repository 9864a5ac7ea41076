package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The platform's metadata store: rows, transactions and feeds. All rows lie in one partition. */
final class Store implements AutoCloseable {

  /** What happens to the calls of a machine. */
  enum Access {
    OK,
    /** The store gives no answer. */
    SILENT,
    /** The store answers 503. */
    BUSY
  }

  record Row(String table, String key, String value, long version, boolean isRemoved) {}

  private static final int MAX_ROWS = 500;

  private final long startNanos = System.nanoTime();
  private final Map<String, Http.Server> serversByMachine = new HashMap<>();
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Map<String, Access> accessByMachine = new HashMap<>();
  private long version;
  private long era;

  /** What the store holds at a moment. */
  record Copy(Map<String, TreeMap<String, Row>> tables, List<Row> history, long version) {}

  /** Copies all rows. */
  synchronized Copy copy() {
    Map<String, TreeMap<String, Row>> copied = new HashMap<>();
    tables.forEach((table, rows) -> copied.put(table, new TreeMap<>(rows)));
    return new Copy(copied, List.copyOf(history), version);
  }

  /** Comes back from a copy: what was written since is gone, and versions go back. */
  synchronized void restore(Copy copy) {
    tables.clear();
    tables.putAll(copy.tables());
    history.clear();
    history.addAll(copy.history());
    version = copy.version();
    era++;
    notifyAll();
  }

  /** Opens an address for the calls of one machine, so that its calls can be told from others. */
  synchronized String open(String machine, String ip) throws Exception {
    Http.Server server =
        new Http.Server(ip, (request, socket, out) -> handle(machine, request, out));
    serversByMachine.put(machine, server);
    return server.address();
  }

  /** Sets what happens to the calls of a machine from now on, those that wait included. */
  synchronized void setAccess(String machine, Access access) {
    accessByMachine.put(machine, access);
    notifyAll();
  }

  private synchronized Access getAccess(String machine) {
    return accessByMachine.getOrDefault(machine, Access.OK);
  }

  /** Writes a row as the operator or a replica does; returns its version. */
  synchronized long put(String table, String key, Object value) {
    version++;
    store(new Row(table, key, encode(Json.write(value)), version, false));
    notifyAll();
    return version;
  }

  synchronized void remove(String table, String key) {
    version++;
    store(new Row(table, key, "", version, true));
    notifyAll();
  }

  /** Returns the values of a table by key. */
  synchronized Map<String, String> getTable(String table) {
    Map<String, String> values = new TreeMap<>();
    rows(table).forEach((k, r) -> values.put(k, decode(r.value())));
    return values;
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String decode(String value) {
    return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
  }

  private TreeMap<String, Row> rows(String table) {
    return tables.computeIfAbsent(table, t -> new TreeMap<>());
  }

  private void store(Row row) {
    history.add(row);
    if (row.isRemoved()) {
      rows(row.table()).remove(row.key());
    } else {
      rows(row.table()).put(row.key(), row);
    }
  }

  private boolean handle(String machine, Http.Message request, OutputStream out) throws Exception {
    switch (getAccess(machine)) {
      case SILENT -> {
        return true;
      }
      case BUSY -> {
        Http.write(out, "503 Service Unavailable", Map.of(), new byte[0]);
        return true;
      }
      default -> {}
    }
    String[] target = request.target().split("\\?", 2);
    Map<String, String> query = parseQuery(target.length > 1 ? target[1] : "");
    Object body = null;
    String status = "200 OK";
    switch (target[0]) {
      case "/api/rows-get" -> body = get(query);
      case "/api/rows-feed" -> {
        body = isKnown(query) ? feed(query, machine) : null;
        status = body == null ? "410 Gone" : status;
      }
      case "/api/rows-tx" -> {
        body = commit(Json.map(Json.parse(request.text())));
        status = Json.map(body).containsKey("rows") ? "412 Precondition Failed" : status;
      }
      default -> status = "404 Not Found";
    }
    if (getAccess(machine) == Access.SILENT) {
      return true;
    }
    String text = body == null ? "{}" : Json.write(body);
    Map<String, String> headers = Map.of("Content-Type", "application/json", "Store-Era", getEra());
    Http.write(out, status, headers, text.getBytes(StandardCharsets.UTF_8));
    return true;
  }

  private synchronized String getEra() {
    return "" + era;
  }

  private static Map<String, String> parseQuery(String query) {
    Map<String, String> values = new HashMap<>();
    for (String pair : query.split("&")) {
      String[] parts = pair.split("=", 2);
      values.put(
          parts[0],
          parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
    }
    return values;
  }

  private Map<String, Object> newAnswer() {
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    return Json.of("ver", version, "now_ms", millis);
  }

  private static Map<String, Object> toJson(Row row) {
    Map<String, Object> json =
        Json.of("table", row.table(), "part", "", "key", row.key(), "ver", row.version());
    if (row.isRemoved()) {
      json.put("removed", true);
    } else {
      json.put("value", row.value());
    }
    return json;
  }

  private synchronized Object get(Map<String, String> query) {
    TreeMap<String, Row> rows = rows(query.get("table"));
    List<Object> found = new ArrayList<>();
    boolean hasMore = false;
    String to = query.getOrDefault("to", "");
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
    for (Row row : rows.tailMap(query.getOrDefault("from", ""), true).values()) {
      if (!to.isEmpty() && row.key().compareTo(to) >= 0) {
        break;
      }
      if (found.size() == limit) {
        hasMore = true;
        break;
      }
      found.add(toJson(row));
    }
    Map<String, Object> answer = newAnswer();
    answer.put("rows", found);
    answer.put("has_more", hasMore);
    return answer;
  }

  private synchronized boolean isKnown(Map<String, String> query) {
    return Long.parseLong(query.get("after")) <= version;
  }

  private synchronized Object feed(Map<String, String> query, String machine) throws Exception {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    Predicate<Row> isNew = r -> r.table().equals(query.get("table")) && r.version() > after;
    while (history.stream().noneMatch(isNew)) {
      long left = (end - System.nanoTime()) / 1_000_000;
      if (left <= 0 || getAccess(machine) != Access.OK) {
        break;
      }
      wait(left);
    }
    Map<String, Object> answer = newAnswer();
    answer.put("rows", history.stream().filter(isNew).map(r -> (Object) toJson(r)).toList());
    return answer;
  }

  private synchronized Object commit(Map<String, Object> call) {
    List<Object> conflicts = new ArrayList<>();
    for (Object entry : Json.list(call.get("expected"))) {
      Map<String, Object> expected = Json.map(entry);
      Row row = rows((String) expected.get("table")).get((String) expected.get("key"));
      long actual = row == null ? 0 : row.version();
      if (actual != ((Number) expected.get("ver")).longValue()) {
        conflicts.add(row == null ? expected : toJson(row));
      }
    }
    Map<String, Object> answer;
    if (conflicts.isEmpty()) {
      version++;
      for (Object entry : Json.list(call.get("puts"))) {
        Map<String, Object> put = Json.map(entry);
        store(
            new Row(
                (String) put.get("table"),
                (String) put.get("key"),
                (String) put.get("value"),
                version,
                false));
      }
      for (Object entry : Json.list(call.get("remove"))) {
        Map<String, Object> removed = Json.map(entry);
        store(
            new Row(
                (String) removed.get("table"), (String) removed.get("key"), "", version, true));
      }
      notifyAll();
      answer = newAnswer();
    } else {
      answer = newAnswer();
      answer.put("rows", conflicts);
    }
    return answer;
  }

  @Override
  public void close() throws IOException {
    for (Http.Server server : serversByMachine.values()) {
      server.close();
    }
  }
}
