package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Ends the drain of an instance at all entries. */
public final class UndrainCommand extends OperatorCommand {

  @Override
  public String getName() {
    return "undrain";
  }

  @Override
  public String getSummary() {
    return "Ends the drain of an instance at all entries.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(
        OperatorSettings.ENTRY,
        OperatorSettings.TOKEN,
        OperatorSettings.INSTANCE,
        ConfigSettings.JSON);
  }

  @Override
  CompletableFuture<JsonNode> call(
      OperatorClient client, InetSocketAddress entry, SettingValues values) {
    return client.send(
        entry, HttpMethod.DELETE, "/operator/drains/" + values.get(OperatorSettings.INSTANCE), "");
  }

  @Override
  void print(JsonNode response, PrintStream out) {
    out.println("accepted as configuration version " + response.path("version").asLong());
  }
}
