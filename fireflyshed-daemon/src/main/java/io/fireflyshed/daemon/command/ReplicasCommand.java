package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Lists the replicas that an entry sends requests to. */
public final class ReplicasCommand extends OperatorCommand {

  @Override
  public String getName() {
    return "replicas";
  }

  @Override
  public String getSummary() {
    return "Lists the replicas that an entry sends requests to.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(OperatorSettings.ENTRY, OperatorSettings.TOKEN, ConfigSettings.JSON);
  }

  @Override
  CompletableFuture<JsonNode> call(
      OperatorClient client, InetSocketAddress entry, SettingValues values) {
    return client.send(entry, HttpMethod.GET, "/operator/replicas", "");
  }

  @Override
  void print(JsonNode response, PrintStream out) {
    out.printf(
        "%-16s %-32s %-10s %-6s %s%n", "service", "replica", "generation", "open", "members");
    for (JsonNode replica : response) {
      out.printf(
          "%-16s %-32s %-10d %-6s %s%n",
          replica.path("service").asText(),
          replica.path("replica").asText(),
          replica.path("generation").asLong(),
          replica.path("open").asBoolean() ? "yes" : "no",
          replica.path("members"));
    }
  }
}
