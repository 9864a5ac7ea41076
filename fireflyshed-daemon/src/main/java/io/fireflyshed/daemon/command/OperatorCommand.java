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

/** Does what all commands do that call one entry: sends the request and prints the answer. */
abstract class OperatorCommand implements Command {

  @Override
  public final int run(SettingValues values, PrintStream out) {
    Logging.configure(LogFormat.TEXT, Level.ERROR);
    try (OperatorClient client = new OperatorClient(values.get(OperatorSettings.TOKEN))) {
      JsonNode answer = call(client, values.get(OperatorSettings.ENTRY), values).join();
      if (values.get(ConfigSettings.JSON)) {
        out.println(JsonUtils.toText(answer));
      } else {
        print(answer, out);
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

  /** Prints the answer for people. */
  abstract void print(JsonNode answer, PrintStream out);
}
