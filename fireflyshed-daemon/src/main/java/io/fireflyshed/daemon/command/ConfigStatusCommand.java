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

/** Shows the version in force at each entry; optionally waits until all entries have a version. */
public final class ConfigStatusCommand extends ConfigCommand {

  private static final long POLL_MILLIS = 200;

  @Override
  public String getName() {
    return "config status";
  }

  @Override
  public String getSummary() {
    return "Shows the version in force at each entry; with --wait, waits for all entries.";
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
    long requested = values.get(ConfigSettings.VERSION);
    long wantedVersion = requested == 0 ? readNewestVersion(values) : requested;
    Duration wait = values.get(OperatorSettings.WAIT);
    long start = System.nanoTime();
    boolean isJson = values.get(ConfigSettings.JSON);
    try (OperatorClient client = new OperatorClient(values.get(OperatorSettings.TOKEN))) {
      List<ObjectNode> entries = readStatuses(client, values.getAll(OperatorSettings.ENTRY));
      while (!isInForceEverywhere(entries, wantedVersion)
          && System.nanoTime() - start < wait.toNanos()) {
        if (!isJson) {
          out.println(
              "version "
                  + wantedVersion
                  + " in force at "
                  + countInForce(entries, wantedVersion)
                  + " of "
                  + entries.size()
                  + " entries");
        }
        Thread.sleep(POLL_MILLIS);
        entries = readStatuses(client, values.getAll(OperatorSettings.ENTRY));
      }
      print(entries, wantedVersion, isJson, out);
      return isInForceEverywhere(entries, wantedVersion) ? EXIT_OK : EXIT_TIMEOUT;
    }
  }

  private static long readNewestVersion(SettingValues values) {
    try (PlatformStores platform = new PlatformStores(values.get(ServeSettings.PLATFORM))) {
      return platform.readNewestVersion();
    }
  }

  private static List<ObjectNode> readStatuses(
      OperatorClient client, List<InetSocketAddress> entries) {
    List<CompletableFuture<ObjectNode>> statuses = new ArrayList<>();
    for (InetSocketAddress entry : entries) {
      statuses.add(
          client
              .send(entry, HttpMethod.GET, "/operator/configuration", "")
              .handle((response, error) -> toStatus(entry, response, error)));
    }
    return statuses.stream().map(CompletableFuture::join).toList();
  }

  private static ObjectNode toStatus(InetSocketAddress entry, JsonNode response, Throwable error) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("entry", entry.getHostString() + ":" + entry.getPort());
    if (error != null) {
      return node.put("error", error.getMessage());
    }
    response.properties().forEach(e -> node.set(e.getKey(), e.getValue()));
    return node;
  }

  private static boolean isInForceEverywhere(List<ObjectNode> entries, long wantedVersion) {
    return countInForce(entries, wantedVersion) == entries.size();
  }

  private static long countInForce(List<ObjectNode> entries, long wantedVersion) {
    return entries.stream()
        .filter(e -> !e.has("error") && e.path("version").asLong() >= wantedVersion)
        .count();
  }

  private static void print(
      List<ObjectNode> entries, long wantedVersion, boolean isJson, PrintStream out) {
    if (isJson) {
      ObjectNode result = JsonUtils.getMapper().createObjectNode().put("wanted", wantedVersion);
      ArrayNode nodes = result.putArray("entries");
      entries.forEach(nodes::add);
      out.println(JsonUtils.toText(result));
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
            entry.path("current").asBoolean() ? "holds" : "expired, may be outdated");
      }
    }
  }
}
