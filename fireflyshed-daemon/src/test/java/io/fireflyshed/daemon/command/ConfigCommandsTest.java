package io.fireflyshed.daemon.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.standins.platform.PlatformStandIn;
import io.fireflyshed.standins.platform.StoreFault;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the config commands against a stand-in platform. */
public class ConfigCommandsTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  /** The exit code and the output of a command. */
  private record Result(int code, String text) {
    private JsonNode toJson() {
      return JsonUtils.parse(text);
    }
  }

  private static Result run(Command command, String... arguments) throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    SettingValues values = SettingValues.parse(command.getSettings(), List.of(arguments), Map.of());
    int code = command.run(values, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    return new Result(code, bytes.toString(StandardCharsets.UTF_8));
  }

  private static String[] newArguments(String... more) {
    List<String> all =
        new ArrayList<>(
            List.of(
                "--base", EXAMPLES.resolve("base.yaml").toString(),
                "--overlay", "harwood=" + EXAMPLES.resolve("harwood.yaml"),
                "--overlay", "viitekulma=" + EXAMPLES.resolve("viitekulma.yaml")));
    all.addAll(List.of(more));
    return all.toArray(String[]::new);
  }

  /** Tests of the check command, which does not use the platform. */
  public static class Check {

    @Test
    public void acceptsTheExamples() throws Exception {
      assertEquals(
          run(new ConfigCheckCommand(), newArguments()),
          new Result(0, "no problems; sites: harwood, viitekulma\n"));
    }

    @Test
    public void reportsFileLineAndPathOfAProblem() throws Exception {
      Path file = Files.createTempFile("overlay", ".yaml");
      try {
        Files.writeString(file, "services:\n  cards: {colour: red}\n");
        Result result =
            run(new ConfigCheckCommand(), newArguments("--overlay", "x=" + file, "--json"));
        assertEquals(result.code(), 1);
        List<JsonNode> problems = new ArrayList<>();
        result.toJson().path("problems").forEach(problems::add);
        assertTrue(
            problems.stream()
                .anyMatch(
                    p ->
                        p.path("path").asText().equals("/services/cards/colour")
                            && p.path("line").asInt() == 2
                            && p.path("file").asText().equals(file.toString())),
            result.text());
      } finally {
        Files.delete(file);
      }
    }

    @Test
    public void reportsAMissingFile() throws Exception {
      Result result = run(new ConfigCheckCommand(), "--base", "absent.yaml");
      assertEquals(result.code(), 1);
      assertTrue(
          result.text().startsWith("absent.yaml:1: /: cannot read the file: "), result.text());
    }
  }

  /** Tests of the commands that use the platform. */
  public static class Platform {

    private PlatformStandIn platform;
    private String address;

    /** Starts the platform. */
    @BeforeMethod
    public void start() {
      platform = new PlatformStandIn();
      address = "127.0.0.1:" + platform.start(new InetSocketAddress("127.0.0.1", 0)).getPort();
    }

    /** Stops the platform. */
    @AfterMethod
    public void stop() {
      platform.close();
    }

    private Result apply(String from, String author) throws Exception {
      return run(
          new ConfigApplyCommand(),
          newArguments("--from", from, "--author", author, "--platform", address, "--json"));
    }

    @Test
    public void secondApplyConflictsAndReportsTheAcceptedVersion() throws Exception {
      assertEquals(apply("0", "ann").code(), 0);
      Result second = apply("0", "bea");
      assertEquals(second.code(), 3);
      assertEquals(second.toJson().path("winner").path("author").asText(), "ann");
      assertTrue(second.toJson().path("sites").has("harwood"), second.text());
      Result history = run(new ConfigHistoryCommand(), "--platform", address, "--json");
      assertEquals(history.toJson().size(), 1);
    }

    @Test
    public void diffAndShowPrintTheConfigurationOfASite() throws Exception {
      Result before = run(new ConfigDiffCommand(), newArguments("--platform", address));
      assertTrue(before.text().contains("/services/cards/replica/count: none -> 22"));
      apply("0", "ann");
      Result after = run(new ConfigDiffCommand(), newArguments("--platform", address));
      assertEquals(after.text(), "compared with version 1: no changes\n");
      Result shown =
          run(new ConfigShowCommand(), "--platform", address, "--of-site", "viitekulma", "--json");
      JsonNode services = shown.toJson().path("configuration").path("services");
      assertEquals(services.path("references").path("replica").path("instances").asInt(), 4);
    }

    @Test
    public void applySucceedsWhenTheResponseIsLost() throws Exception {
      platform.setFault(StoreFault.LOST_ANSWER);
      assertEquals(apply("0", "ann").code(), 0);
      assertEquals(apply("0", "bea").code(), 3);
    }

    @Test
    public void applyChangesNothingWhileThePlatformIsDown() throws Exception {
      platform.setFault(StoreFault.DOWN);
      assertEquals(apply("1", "ann").code(), 4);
      platform.setFault(StoreFault.NONE);
      Result history = run(new ConfigHistoryCommand(), "--platform", address);
      assertEquals(history.text(), "no version was ever applied\n");
    }
  }
}
