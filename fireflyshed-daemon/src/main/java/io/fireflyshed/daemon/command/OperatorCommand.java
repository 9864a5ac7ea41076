package io.fireflyshed.daemon.command;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.error.ServingException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** The base class of the commands that send a request to one entry and print the response. */
abstract class OperatorCommand implements Command {

  @Override
  public final int run(SettingValues values, PrintStream out) {
    Logging.configure(LogFormat.TEXT, Level.ERROR);
    try (OperatorClient client = new OperatorClient(values.get(OperatorSettings.TOKEN))) {
      JsonNode response = call(client, values.get(OperatorSettings.ENTRY), values).join();
      if (values.get(ConfigSettings.JSON)) {
        out.println(JsonUtils.toText(response));
      } else {
        print(response, out);
      }
      return EXIT_OK;
    } catch (CompletionException e) {
      if (e.getCause() instanceof ServingException) {
        out.println(e.getCause().getMessage());
        return EXIT_FAILED;
      }
      throw e;
    }
  }

  /** Sends the request. */
  abstract CompletableFuture<JsonNode> call(
      OperatorClient client, InetSocketAddress entry, SettingValues values);

  /** Prints the response as text. */
  abstract void print(JsonNode response, PrintStream out);
}
