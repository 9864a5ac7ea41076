package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.List;

/** A command of the command line, loaded as a service provider. */
public interface Command {

  /** The exit code of success. */
  int EXIT_OK = 0;

  /** The exit code of a failure. */
  int EXIT_FAILED = 1;

  /** The exit code of invalid usage. */
  int EXIT_USAGE = 2;

  /**
   * Returns the words that select the command, such as {@code serve} or {@code config apply}.
   *
   * @return the name, never null
   */
  String getName();

  /**
   * Returns a one-line description of the command.
   *
   * @return the description, never null
   */
  String getSummary();

  /**
   * Returns the settings that the command accepts.
   *
   * @return the settings, never null
   */
  List<Setting<?>> getSettings();

  /**
   * Runs the command.
   *
   * @param values the parsed settings, not null
   * @param out the stream to print results to, not null
   * @return the exit code
   * @throws InterruptedException if the thread is interrupted
   */
  int run(SettingValues values, PrintStream out) throws InterruptedException;
}
