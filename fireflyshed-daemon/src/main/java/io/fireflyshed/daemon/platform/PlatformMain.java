package io.fireflyshed.daemon.platform;

import io.fireflyshed.daemon.Main;
import java.util.List;

/**
 * Runs the commands of an entry on the users' platform; its archive holds only what they need, so
 * that a restarted process serves soon.
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
