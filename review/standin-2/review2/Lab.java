package review2;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, the addresses, the entry processes and a client. */
final class Lab implements AutoCloseable {

  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;
  private static final long LONGEST_RUN_MS = 115_000;

  /** The case itself. */
  interface Case {
    /** Returns the exit status. */
    int run(Lab lab) throws Exception;
  }

  /** An entry process. */
  static final class Entry {
    final String name;
    final String zone;
    final String ip;
    final int front;
    final int ready;
    final Path config;
    final Process process;
    final Path log;

    private Entry(
        String name,
        String zone,
        String ip,
        int front,
        int ready,
        Path config,
        Process process,
        Path log) {
      this.name = name;
      this.zone = zone;
      this.ip = ip;
      this.front = front;
      this.ready = ready;
      this.config = config;
      this.process = process;
      this.log = log;
    }
  }

  /** The answer to a request; the status is 0 if the connection ended without an answer. */
  record Answer(int status, Map<String, String> headers, String body, String error) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  final Path work;
  final Random random = new Random();
  private final String network;
  private int lastHost = 10;
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Process> processes = new CopyOnWriteArrayList<>();

  private Lab(Path folder) throws IOException {
    this.folder = folder;
    this.work = Files.createTempDirectory("review-2-");
    this.record = new PrintWriter(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
    this.network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
  }

  /** Runs a case and exits with its status. */
  static void main(String folder, Case aCase) {
    int status = NOT_RUN;
    try (Lab lab = new Lab(Path.of(folder))) {
      Runtime.getRuntime().addShutdownHook(new Thread(lab::endProcesses));
      Http.start(lab::watch);
      try {
        lab.note("trouble " + (lab.isTrouble ? 1 : 0));
        status = aCase.run(lab);
      } catch (Exception e) {
        lab.note("the case could not run: " + e);
        e.printStackTrace();
      }
      lab.note("exit " + status);
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Returns a loopback address that no other machine of this run has. */
  synchronized String newAddress() {
    return network + ++lastHost;
  }

  /** Returns the time since the start. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void note(String text) {
    String line = String.format("%8.3f s  %s", millis() / 1000.0, text);
    record.println(line);
    record.flush();
    System.out.println(line);
  }

  /** Writes a line to the record only. */
  synchronized void log(String text) {
    record.println(text);
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis));
  }

  private static int newPort(String ip) throws IOException {
    try (java.net.ServerSocket socket = new java.net.ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  /** Starts an entry with the command of the deploy file. */
  Entry startEntry(String name, String zone, String store, List<String> zones, boolean isFirst)
      throws IOException {
    String ip = newAddress();
    return startEntry(name, zone, ip, newPort(ip), newPort(ip), newPort(ip), store, zones, isFirst);
  }

  Entry startEntry(
      String name,
      String zone,
      String ip,
      int front,
      int ready,
      int internal,
      String store,
      List<String> zones,
      boolean isFirst)
      throws IOException {
    Map<String, Object> zoneMap = new LinkedHashMap<>();
    zones.forEach(z -> zoneMap.put(z, "region-1"));
    Object settings =
        Json.of(
            "node_name", name,
            "role", "entry",
            "machine_class", "edge",
            "serves", List.of("edge"),
            "ip", ip,
            "zone", zone,
            "region", "region-1",
            "zones", zoneMap,
            "listen", Json.of("front", ip + ":" + front, "ready_addr", ip + ":" + ready),
            "internal_ports", List.of((long) internal, (long) internal + 15),
            "seeds", List.of(),
            "bootstrap", isFirst,
            "tolerance_counted", false,
            "limits",
                Json.of(
                    "cpu_share", 0.75,
                    "cores", 1L,
                    "memory_mb", 430L,
                    "max_fds", 4100L,
                    "link_mbps", 1000.0,
                    "disk_mb", 0L),
            "data_dir", null,
            "discovery", "platform",
            "entry", "vip",
            "heartbeat_ms", 1200L,
            "contracts",
                List.of(
                    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                    "tenants", "platform", "gangs"),
            "fault_tolerance", Json.of("machines", 1L, "zones", 1L, "regions", 0L),
            "bounds", Bounds.settings(),
            "platform",
                Json.of(
                    "address", store,
                    "form", "table",
                    "writes_per_s", 400L,
                    "reads_per_s", 2000L,
                    "tx_ms", 8.0,
                    "partition_writes_s", 150L,
                    "row_bytes", 65536L,
                    "across", false,
                    "history_s", 20L,
                    "blob_bytes", 8388608L,
                    "blob_ms", 25.0,
                    "blob_mb_s", 80.0));
    Path config = work.resolve(name + ".json");
    Files.writeString(config, Json.write(settings));
    return launch(name, zone, ip, front, ready, config);
  }

  /** Starts the entry of a machine again, with its settings but for `bootstrap`. */
  Entry restartEntry(Entry stopped) throws IOException {
    String settings = Files.readString(stopped.config);
    Files.writeString(
        stopped.config, settings.replace("\"bootstrap\":true", "\"bootstrap\":false"));
    return launch(
        stopped.name, stopped.zone, stopped.ip, stopped.front, stopped.ready, stopped.config);
  }

  private Entry launch(String name, String zone, String ip, int front, int ready, Path config)
      throws IOException {
    Path log = work.resolve(name + "-" + entries.size() + ".log");
    ProcessBuilder builder = new ProcessBuilder(getCommand());
    builder.environment().put("FIREFLYSHED_CONFIG", config.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Process process = builder.start();
    Entry entry = new Entry(name, zone, ip, front, ready, config, process, log);
    entries.add(entry);
    processes.add(process);
    note("entry " + name + " starts in " + zone);
    return entry;
  }

  /** Reads the command of the role from the deploy file, which is split at spaces. */
  private static List<String> getCommand() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  /** Waits until an entry is ready. */
  void awaitReady(Entry entry) throws Exception {
    long end = millis() + 30_000;
    while (millis() < end) {
      if (!entry.process.isAlive()) {
        throw new IOException("entry " + entry.name + " ended: " + Files.readString(entry.log));
      }
      if (isReady(entry)) {
        note("entry " + entry.name + " is ready");
        return;
      }
      sleep(100);
    }
    throw new IOException("entry " + entry.name + " did not become ready");
  }

  boolean isReady(Entry entry) {
    try (Socket socket = connect(entry.ip, entry.ready)) {
      socket.setSoTimeout(1000);
      socket.getOutputStream()
          .write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      return Http.read(socket.getInputStream(), true).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  static Socket connect(String ip, int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, port), 1000);
    return socket;
  }

  /** Sends a signal to a process that this run started. */
  void signal(Entry entry, String signal) throws Exception {
    note("signal " + signal + " to " + entry.name);
    new ProcessBuilder("kill", "-" + signal, "" + entry.process.pid()).start().waitFor();
  }

  String newId() {
    return String.format("%016x", random.nextLong());
  }

  static String head(String method, String path, String host, String id, String key, long budget) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + host
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + budget
        + "\r\n"
        + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n");
  }

  /** Sends a request on a new connection and waits for its answer within the time budget. */
  Answer call(
      Entry entry, String method, String path, String id, String key, long budget, String body) {
    try (Socket socket = connect(entry.ip, entry.front)) {
      return exchange(socket, method, path, id, key, budget, body);
    } catch (IOException e) {
      return new Answer(0, Map.of(), "", e.toString());
    }
  }

  static Answer exchange(
      Socket socket, String method, String path, String id, String key, long budget, String body) {
    try {
      socket.setSoTimeout((int) budget);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          head(method, path, "shop.example", id, key, budget)
              + (bytes.length == 0 ? "" : "Content-Length: " + bytes.length + "\r\n")
              + "\r\n";
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      InputStream in = socket.getInputStream();
      Http.Message message = Http.read(in, true);
      return new Answer(message.status(), message.headers(), message.text(), "");
    } catch (IOException e) {
      return new Answer(0, Map.of(), "", e.toString());
    }
  }

  /** Ends a run that takes too long. */
  private void watch() {
    try {
      sleep(LONGEST_RUN_MS);
    } catch (InterruptedException e) {
      return;
    }
    note("the run takes too long, exit " + NOT_RUN);
    System.exit(NOT_RUN);
  }

  /** Ends all processes that this run started. */
  private void endProcesses() {
    List.copyOf(processes).forEach(Process::destroyForcibly);
    deleteFolder();
  }

  private void deleteFolder() {
    try (var paths = Files.walk(work)) {
      paths.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      // It was deleted before.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
    deleteFolder();
  }
}
