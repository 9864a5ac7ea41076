package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.List;

/** A command of the command line, found as a service. */
public interface Command {

  /** The exit code of success. */
  int EXIT_OK = 0;

  /** The exit code of a failure. */
  int EXIT_FAILED = 1;

  /** The exit code of wrong usage. */
  int EXIT_USAGE = 2;

  /**
   * Gets the words by which the command is called, such as {@code serve} or {@code config apply}.
   *
   * @return the name, never null
   */
  String getName();

  /**
   * Gets one line that says what the command does.
   *
   * @return the line, never null
   */
  String getSummary();

  /**
   * Gets the settings that the command takes.
   *
   * @return the settings, never null
   */
  List<Setting<?>> getSettings();

  /**
   * Runs the command.
   *
   * @param values the parsed settings, not null
   * @param out where to print results, not null
   * @return the exit code
   * @throws InterruptedException if the thread is interrupted
   */
  int run(SettingValues values, PrintStream out) throws InterruptedException;
}
