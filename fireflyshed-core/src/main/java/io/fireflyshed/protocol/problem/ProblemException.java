package io.fireflyshed.protocol.problem;

import io.fireflyshed.state.error.ServingException;

/** Carries a problem to the place that answers the caller. */
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
   * Gets the problem.
   *
   * @return the problem, never null
   */
  public Problem getProblem() {
    return problem;
  }
}
