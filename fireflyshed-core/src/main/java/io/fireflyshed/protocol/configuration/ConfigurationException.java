package io.fireflyshed.protocol.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that a configuration is invalid. */
public class ConfigurationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationProblem> problems;

  /**
   * Creates an exception.
   *
   * @param problems the problems of the configuration, copied, not null, not empty
   */
  public ConfigurationException(List<ConfigurationProblem> problems) {
    super(problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns the problems of the configuration.
   *
   * @return the problems, never null
   */
  public List<ConfigurationProblem> getProblems() {
    return problems;
  }
}
