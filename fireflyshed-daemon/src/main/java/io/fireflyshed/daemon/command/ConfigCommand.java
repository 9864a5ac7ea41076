package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationChange;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.configuration.ConfigurationException;
import io.fireflyshed.protocol.configuration.ConfigurationProblem;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.error.ServingException;
import io.fireflyshed.transport.configuration.ConfigurationCommitter;
import io.fireflyshed.transport.configuration.ConfigurationEditor;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.platform.HttpObjectStore;
import io.fireflyshed.transport.platform.HttpTableService;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/** The base class of the config commands: maps errors to exit codes and accesses the platform. */
abstract class ConfigCommand implements Command {

  static final int EXIT_CONFLICT = 3;
  static final int EXIT_UNREACHABLE = 4;
  static final int EXIT_UNDECIDED = 5;
  static final int EXIT_TIMEOUT = 6;

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final long RETRY_MILLIS = 200;

  @Override
  public final int run(SettingValues values, PrintStream out) throws InterruptedException {
    Logging.configure(LogFormat.TEXT, Level.ERROR);
    try {
      return runConfig(values, out);
    } catch (ConfigurationException e) {
      printProblems(e.getProblems(), values.get(ConfigSettings.JSON), out);
      return EXIT_FAILED;
    } catch (CompletionException e) {
      if (e.getCause() instanceof ServingException) {
        out.println("platform unreachable: " + e.getCause().getMessage());
        return EXIT_UNREACHABLE;
      }
      throw e;
    }
  }

  /** Runs the command; may throw errors of the configuration and of the platform. */
  abstract int runConfig(SettingValues values, PrintStream out) throws InterruptedException;

  /** The connection of a command to the stores of the platform. */
  static final class PlatformStores implements AutoCloseable {

    private final HttpCaller caller = new HttpCaller("config");
    private final ConfigurationStore store;
    private final ConfigurationCommitter committer;

    PlatformStores(InetSocketAddress address) {
      store =
          new ConfigurationStore(
              new HttpTableService(caller, address, TIMEOUT),
              new HttpObjectStore(caller, address, TIMEOUT));
      committer =
          new ConfigurationCommitter(
              store, CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS));
    }

    ConfigurationStore getStore() {
      return store;
    }

    ConfigurationCommitter getCommitter() {
      return committer;
    }

    long readNewestVersion() {
      return store.readHead().join().map(h -> h.record().version()).orElse(0L);
    }

    /** Reads a version, or the newest for 0; empty if there is none. */
    Optional<ConfigurationRecord> readRecord(long version) {
      return version == 0
          ? store.readHead().join().map(ConfigurationHead::record)
          : store.readVersion(version).join();
    }

    /** Reads the document of a version; the document of version 0 is empty. */
    ConfigurationDocument readDocument(long version) {
      Optional<ConfigurationRecord> record =
          version == 0 ? Optional.empty() : store.readVersion(version).join();
      Optional<ConfigurationHead> head = record.map(r -> new ConfigurationHead(r, 1));
      return new ConfigurationEditor(store, committer).readDocument(head).join();
    }

    @Override
    public void close() {
      caller.close();
    }
  }

  /** Returns the changes by site, without sites that do not change. */
  static SortedMap<String, List<ConfigurationChange>> findChanges(
      ConfigurationDocument before, ConfigurationDocument after) {
    TreeSet<String> sites = new TreeSet<>(before.getSites());
    sites.addAll(after.getSites());
    SortedMap<String, List<ConfigurationChange>> changes = new TreeMap<>();
    for (String site : sites) {
      List<ConfigurationChange> found =
          ConfigurationChange.findAll(before.resolve(site), after.resolve(site));
      if (!found.isEmpty()) {
        changes.put(site, found);
      }
    }
    return changes;
  }

  static void printChanges(SortedMap<String, List<ConfigurationChange>> changes, PrintStream out) {
    changes.forEach(
        (site, list) -> {
          out.println(site + ":");
          list.forEach(c -> out.println("  " + c));
        });
  }

  static ObjectNode toJson(SortedMap<String, List<ConfigurationChange>> changes) {
    ObjectNode sites = JsonUtils.getMapper().createObjectNode();
    changes.forEach(
        (site, list) -> {
          ArrayNode nodes = sites.putArray(site);
          for (ConfigurationChange change : list) {
            ObjectNode node = nodes.addObject().put("path", change.path());
            node.put("before", change.before().orElse(null));
            node.put("after", change.after().orElse(null));
          }
        });
    return sites;
  }

  static ObjectNode toJson(ConfigurationRecord record) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("version", record.version());
    node.put("author", record.author());
    node.put("attempt", record.attempt());
    node.put("digest", record.digest());
    return node.put("summary", record.summary());
  }

  static String toLine(ConfigurationRecord record) {
    return "version " + record.version() + " by " + record.author() + ": " + record.summary();
  }

  private static void printProblems(
      List<ConfigurationProblem> problems, boolean isJson, PrintStream out) {
    if (!isJson) {
      problems.forEach(out::println);
      return;
    }
    ObjectNode result = JsonUtils.getMapper().createObjectNode();
    ArrayNode nodes = result.putArray("problems");
    for (ConfigurationProblem problem : problems) {
      nodes
          .addObject()
          .put("file", problem.file())
          .put("line", problem.line())
          .put("path", problem.path())
          .put("message", problem.message());
    }
    out.println(JsonUtils.toText(result));
  }
}
