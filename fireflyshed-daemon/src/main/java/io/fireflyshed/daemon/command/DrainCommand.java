package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Drains an instance at all entries. */
public final class DrainCommand extends OperatorCommand {

  @Override
  public String getName() {
    return "drain";
  }

  @Override
  public String getSummary() {
    return "Drains an instance at all entries.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(
        OperatorSettings.ENTRY,
        OperatorSettings.TOKEN,
        OperatorSettings.INSTANCE,
        OperatorSettings.REASON,
        ConfigSettings.JSON);
  }

  @Override
  CompletableFuture<JsonNode> call(
      OperatorClient client, InetSocketAddress entry, SettingValues values) {
    return client.send(
        entry,
        HttpMethod.PUT,
        "/operator/drains/" + values.get(OperatorSettings.INSTANCE),
        values.get(OperatorSettings.REASON));
  }

  @Override
  void print(JsonNode response, PrintStream out) {
    out.println("accepted as configuration version " + response.path("version").asLong());
  }
}
