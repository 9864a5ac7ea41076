package io.fireflyshed.daemon;

import ch.qos.logback.classic.Level;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.command.LogFormat;
import io.fireflyshed.daemon.command.Logging;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingException;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;

/** Selects a command by its name and runs it. */
public final class Main {

  private static final String VERSION = "0.1.0";
  private static final String HELP = "--help";

  private final List<Command> commands;
  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  Main(List<Command> commands, Map<String, String> environment, PrintStream out, PrintStream err) {
    this.commands = commands.stream().sorted(Comparator.comparing(Command::getName)).toList();
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the command line and exits.
   *
   * @param arguments the arguments, not null
   */
  public static void main(String[] arguments) {
    Logging.configure(LogFormat.TEXT, Level.WARN);
    List<Command> commands =
        ServiceLoader.load(Command.class).stream().map(ServiceLoader.Provider::get).toList();
    System.exit(run(commands, arguments));
  }

  /**
   * Runs the command that the arguments select.
   *
   * @param commands the commands to select from, not null
   * @param arguments the arguments, not null
   * @return the exit code
   */
  public static int run(List<Command> commands, String[] arguments) {
    Main main = new Main(commands, System.getenv(), System.out, System.err);
    return main.run(Arrays.asList(arguments));
  }

  int run(List<String> arguments) {
    if (arguments.isEmpty() || arguments.get(0).equals(HELP)) {
      printUsage(arguments.isEmpty() ? err : out);
      return arguments.isEmpty() ? Command.EXIT_USAGE : Command.EXIT_OK;
    }
    if (arguments.get(0).equals("--version")) {
      out.println("fireflyshed " + VERSION);
      return Command.EXIT_OK;
    }
    Optional<Command> command = findCommand(arguments);
    if (command.isEmpty()) {
      err.println("fireflyshed: unknown command: " + arguments.get(0) + "; see --help");
      return Command.EXIT_USAGE;
    }
    int words = command.get().getName().split(" ").length;
    return run(command.get(), arguments.subList(words, arguments.size()));
  }

  private Optional<Command> findCommand(List<String> arguments) {
    String line = String.join(" ", arguments) + " ";
    return commands.stream()
        .filter(c -> line.startsWith(c.getName() + " "))
        .max(Comparator.comparingInt(c -> c.getName().length()));
  }

  private int run(Command command, List<String> arguments) {
    if (arguments.contains(HELP)) {
      printHelp(command);
      return Command.EXIT_OK;
    }
    if (arguments.contains("--version")) {
      out.println("fireflyshed " + VERSION);
      return Command.EXIT_OK;
    }
    try {
      SettingValues values = SettingValues.parse(command.getSettings(), arguments, environment);
      return command.run(values, out);
    } catch (SettingException e) {
      err.println("fireflyshed: " + e.getMessage());
      return Command.EXIT_USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Command.EXIT_FAILED;
    }
  }

  private void printUsage(PrintStream stream) {
    stream.println("usage: fireflyshed COMMAND [--SETTING VALUE ...]");
    commands.forEach(c -> stream.printf("  %-18s %s%n", c.getName(), c.getSummary()));
    stream.println("Each command accepts --help and --version.");
  }

  private void printHelp(Command command) {
    out.println("usage: fireflyshed " + command.getName() + " [--SETTING VALUE ...]");
    out.println(command.getSummary());
    for (Setting<?> setting : command.getSettings()) {
      out.printf("  --%s: %s%n", setting.name(), setting.description());
      String text = setting.defaultText() == null ? "none" : setting.defaultText();
      out.printf(
          "      %s; default: %s; variable: %s%n",
          setting.allowedValues(), text, setting.getVariable());
    }
  }
}
