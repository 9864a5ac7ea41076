package io.fireflyshed.daemon.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** One instance of the platform that runs an entry, restarted at the same addresses. */
final class EntryNode {

  /** The time, as in the platform's example settings, from SIGTERM to the kill. */
  static final Duration GRACE = Duration.ofSeconds(8);

  /** The options of the deployment that shape an entry's threads and memory. */
  private static final String JAVA_OPTIONS =
      "-Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=64m"
          + " -XX:-UsePerfData -Dreactor.netty.ioWorkerCount=1"
          + " -Dreactor.schedulers.defaultPoolSize=1 -Djava.net.preferIPv4Stack=true";

  private final String name;
  private final EntryOptions options;
  private final InetSocketAddress store;
  private final Path directory;
  private final String classPath;
  private final List<EntryLife> lives = new CopyOnWriteArrayList<>();
  private String javaOptions = JAVA_OPTIONS;
  private int memoryMegabytes;

  /** Creates a node that runs the program of this build. */
  EntryNode(int index, InetSocketAddress store, Path directory, EntryOptions options) {
    this(index, store, directory, options, System.getProperty("java.class.path"));
  }

  /** Creates a node that runs the program of a class path. */
  EntryNode(
      int index, InetSocketAddress store, Path directory, EntryOptions options, String classPath) {
    this.name = "entry-" + index;
    this.options = options;
    this.store = store;
    this.directory = directory;
    this.classPath = classPath;
  }

  InetSocketAddress getCallerAddress() {
    return new InetSocketAddress(options.ip(), options.callerPort());
  }

  InetSocketAddress getReadinessAddress() {
    return new InetSocketAddress(options.ip(), options.readinessPort());
  }

  /** Gives the processes that start from now on other options and states their memory. */
  void limitMemory(String options, int megabytes) {
    javaOptions = options;
    memoryMegabytes = megabytes;
  }

  List<EntryLife> getLives() {
    return lives;
  }

  EntryLife getLife() {
    return lives.get(lives.size() - 1);
  }

  /** Starts the next process of the entry. */
  EntryLife start() throws IOException {
    String lifeName = name + "-life-" + (lives.size() + 1);
    Path settings = directory.resolve(name + ".json");
    Files.writeString(settings, JsonUtils.toText(newSettings()));
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.addAll(List.of(javaOptions.split(" ")));
    command.addAll(List.of("-cp", classPath));
    command.addAll(List.of(options.mainClass().getName(), "entry"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(PlatformSettings.PATH_VARIABLE, settings.toString());
    EntryLife life = new EntryLife(lifeName, builder, directory.resolve(lifeName + ".log"));
    lives.add(life);
    return life;
  }

  private ObjectNode newSettings() {
    ObjectNode settings = JsonUtils.getMapper().createObjectNode();
    settings.put("node_name", name).put("ip", options.ip()).put("zone", "a");
    settings.put("bootstrap", lives.isEmpty());
    settings.putObject("zones").put("a", "region");
    settings
        .putObject("listen")
        .put("front", options.ip() + ":" + options.callerPort())
        .put("ready_addr", options.ip() + ":" + options.readinessPort());
    settings.putObject("platform").put("address", store.getHostString() + ":" + store.getPort());
    settings
        .putObject("bounds")
        .put("grace_s", GRACE.toSeconds())
        .put("retry_budget_ratio", options.retryRatio())
        .put("budget_slack", options.retrySlack());
    if (memoryMegabytes > 0) {
      settings.putObject("limits").put("memory_mb", memoryMegabytes);
    }
    options.peerPort().ifPresent(p -> settings.putArray("internal_ports").add(p).add(p));
    return settings;
  }
}
