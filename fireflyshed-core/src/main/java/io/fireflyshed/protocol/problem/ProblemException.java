package io.fireflyshed.protocol.problem;

import io.fireflyshed.state.error.ServingException;

/** Signals a problem that is reported to the caller in a problem response. */
public class ProblemException extends ServingException {

  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /**
   * Creates an exception.
   *
   * @param problem the problem, not null
   */
  public ProblemException(Problem problem) {
    super(problem.step(), problem.peer(), problem.detail());
    this.problem = problem;
  }

  /**
   * Returns the problem.
   *
   * @return the problem, never null
   */
  public Problem getProblem() {
    return problem;
  }
}
