package io.fireflyshed.daemon.platform;

import io.fireflyshed.daemon.Main;
import java.util.List;

/**
 * The main class of the archive for the users' platform, which contains only what the commands of
 * an entry need, so that a restarted process starts quickly.
 */
public final class PlatformMain {

  private PlatformMain() {}

  /**
   * Runs the command line and exits.
   *
   * @param arguments the arguments, not null
   */
  public static void main(String[] arguments) {
    System.exit(Main.run(List.of(new PlatformEntryCommand(), new RehearseCommand()), arguments));
  }
}
