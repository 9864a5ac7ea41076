package io.fireflyshed.protocol.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that a configuration has faults. */
public class ConfigurationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationProblem> problems;

  /**
   * Creates an exception.
   *
   * @param problems the faults, copied, not null, not empty
   */
  public ConfigurationException(List<ConfigurationProblem> problems) {
    super(problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /**
   * Gets the faults.
   *
   * @return the faults, never null
   */
  public List<ConfigurationProblem> getProblems() {
    return problems;
  }
}
