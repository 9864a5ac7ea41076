package io.fireflyshed.daemon.command;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.daemon.settings.SettingValues;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link QuickstartCommand}. */
public class QuickstartCommandTest {

  @Test(timeOut = 60_000)
  public void onceFlagMakesThreeSuccessfulCalls() throws InterruptedException {
    QuickstartCommand command = new QuickstartCommand();
    SettingValues values = SettingValues.parse(command.getSettings(), List.of("--once"), Map.of());
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int code = command.run(values, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    assertEquals(code, Command.EXIT_OK, bytes.toString(StandardCharsets.UTF_8));
  }
}
