package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.json.JsonUtils;
import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Shows which version each entry has in force, and waits until all have it. */
public final class ConfigStatusCommand extends ConfigCommand {

  private static final long POLL_MILLIS = 200;

  @Override
  public String getName() {
    return "config status";
  }

  @Override
  public String getSummary() {
    return "Shows which version each entry has in force; waits with --wait.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(
        OperatorSettings.ENTRY,
        OperatorSettings.TOKEN,
        OperatorSettings.WAIT,
        ConfigSettings.VERSION,
        ServeSettings.PLATFORM,
        ConfigSettings.JSON);
  }

  @Override
  int runConfig(SettingValues values, PrintStream out) throws InterruptedException {
    long asked = values.get(ConfigSettings.VERSION);
    long wanted = asked == 0 ? readNewest(values) : asked;
    Duration wait = values.get(OperatorSettings.WAIT);
    long start = System.nanoTime();
    boolean isJson = values.get(ConfigSettings.JSON);
    try (OperatorClient client = new OperatorClient(values.get(OperatorSettings.TOKEN))) {
      List<ObjectNode> entries = readAll(client, values.getAll(OperatorSettings.ENTRY));
      while (!isDone(entries, wanted) && System.nanoTime() - start < wait.toNanos()) {
        if (!isJson) {
          out.println(
              "version "
                  + wanted
                  + " in force at "
                  + count(entries, wanted)
                  + " of "
                  + entries.size()
                  + " entries");
        }
        Thread.sleep(POLL_MILLIS);
        entries = readAll(client, values.getAll(OperatorSettings.ENTRY));
      }
      print(entries, wanted, isJson, out);
      return isDone(entries, wanted) ? EXIT_OK : EXIT_TIMEOUT;
    }
  }

  private static long readNewest(SettingValues values) {
    try (Platform platform = new Platform(values.get(ServeSettings.PLATFORM))) {
      return platform.readVersion();
    }
  }

  private static List<ObjectNode> readAll(OperatorClient client, List<InetSocketAddress> entries) {
    List<CompletableFuture<ObjectNode>> answers = new ArrayList<>();
    for (InetSocketAddress entry : entries) {
      answers.add(
          client
              .send(entry, HttpMethod.GET, "/operator/configuration", "")
              .handle((answer, error) -> toEntry(entry, answer, error)));
    }
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private static ObjectNode toEntry(InetSocketAddress entry, JsonNode answer, Throwable error) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("entry", entry.getHostString() + ":" + entry.getPort());
    if (error != null) {
      return node.put("error", error.getMessage());
    }
    answer.properties().forEach(e -> node.set(e.getKey(), e.getValue()));
    return node;
  }

  private static boolean isDone(List<ObjectNode> entries, long wanted) {
    return count(entries, wanted) == entries.size();
  }

  private static long count(List<ObjectNode> entries, long wanted) {
    return entries.stream()
        .filter(e -> !e.has("error") && e.path("version").asLong() >= wanted)
        .count();
  }

  private static void print(
      List<ObjectNode> entries, long wanted, boolean isJson, PrintStream out) {
    if (isJson) {
      ObjectNode answer = JsonUtils.getMapper().createObjectNode().put("wanted", wanted);
      ArrayNode nodes = answer.putArray("entries");
      entries.forEach(nodes::add);
      out.println(JsonUtils.toText(answer));
      return;
    }
    out.printf("%-22s %-8s %-10s %s%n", "entry", "version", "since", "lease");
    for (ObjectNode entry : entries) {
      if (entry.has("error")) {
        out.printf("%-22s %s%n", entry.path("entry").asText(), entry.path("error").asText());
      } else {
        out.printf(
            "%-22s %-8d %-10s %s%n",
            entry.path("entry").asText(),
            entry.path("version").asLong(),
            entry.path("since_ms").asLong() / 1_000 + "s ago",
            entry.path("current").asBoolean() ? "holds" : "run out, may be behind");
      }
    }
  }
}
