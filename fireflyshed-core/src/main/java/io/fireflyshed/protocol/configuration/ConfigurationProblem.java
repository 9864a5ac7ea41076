package io.fireflyshed.protocol.configuration;

import java.util.Objects;

/**
 * A problem of a configuration and the place where it was found.
 *
 * @param file the name of the file, not null
 * @param line the line number, 1 or more
 * @param path the JSON pointer of the value, empty for the whole document, not null
 * @param message what is wrong, not null
 */
public record ConfigurationProblem(String file, int line, String path, String message) {

  /** Validates the components. */
  public ConfigurationProblem {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    return file + ":" + line + ": " + (path.isEmpty() ? "/" : path) + ": " + message;
  }
}
