package io.fireflyshed.protocol.configuration;

import java.util.Objects;

/**
 * Describes one fault of a configuration.
 *
 * @param file the name of the file, not null
 * @param line the line, from 1
 * @param path the JSON pointer of the value, empty for the whole, not null
 * @param message what is wrong, not null
 */
public record ConfigurationProblem(String file, int line, String path, String message) {

  /** Checks the parts of the record. */
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
