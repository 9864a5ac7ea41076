package io.fireflyshed.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.daemon.command.Command;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import org.testng.annotations.Test;

/** Tests {@link Main}. */
public class MainTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(Map<String, String> environment, String... arguments) {
    out.reset();
    err.reset();
    List<Command> commands =
        ServiceLoader.load(Command.class).stream().map(ServiceLoader.Provider::get).toList();
    return new Main(
            commands,
            environment,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(List.of(arguments));
  }

  @Test
  public void invalidUsageExitsWithTwoAndPrintsOneLine() {
    List<String[]> lines =
        List.of(
            new String[] {"serve", "--other", "1"},
            new String[] {"serve", "--listen"},
            new String[] {"serve", "--listen", "nowhere"},
            new String[] {"serve", "--probe-interval", "0s"},
            new String[] {"nothing"});
    for (String[] line : lines) {
      assertEquals(run(Map.of(), line), Command.EXIT_USAGE, String.join(" ", line));
      assertEquals(err.toString(StandardCharsets.UTF_8).lines().count(), 1);
      assertEquals(out.size(), 0);
    }
  }

  @Test
  public void messageOnAMalformedVariableNamesTheSetting() {
    assertEquals(run(Map.of("FIREFLYSHED_LISTEN", "x"), "settings"), Command.EXIT_USAGE);
    assertEquals(
        err.toString(StandardCharsets.UTF_8).strip(),
        "fireflyshed: --listen: invalid value \"x\"; expected HOST:PORT with a port of 0 to 65535");
  }

  @Test
  public void eachCommandAcceptsHelpAndVersion() {
    for (ServiceLoader.Provider<Command> provider :
        ServiceLoader.load(Command.class).stream().toList()) {
      String[] words = provider.get().getName().split(" ");
      String[] help = Arrays.copyOf(words, words.length + 1);
      help[words.length] = "--help";
      assertEquals(run(Map.of(), help), Command.EXIT_OK);
      assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("usage: fireflyshed "));
      help[words.length] = "--version";
      assertEquals(run(Map.of(), help), Command.EXIT_OK);
      assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("fireflyshed "));
    }
  }

  @Test
  public void settingsCommandMasksSecrets() {
    assertEquals(run(Map.of(), "settings", "--account", "a:very-secret"), Command.EXIT_OK);
    String text = out.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("account=********"), text);
    assertTrue(!text.contains("very-secret"), text);
  }
}
