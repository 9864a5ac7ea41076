package io.fireflyshed.transport.entry;

import reactor.core.publisher.Mono;

/** Decides which requests may run and when. Implementations are thread safe. */
public interface Admission {

  /**
   * Admits a request as soon as it may run.
   *
   * @param request the request, not null
   * @return emits the permit, which the caller must release; fails with a {@link
   *     io.fireflyshed.protocol.problem.ProblemException} if the request is refused. Cancelling the
   *     subscription removes the request from the queue
   */
  Mono<Permit> admit(AdmissionRequest request);

  /** Permission to run one request. */
  @FunctionalInterface
  interface Permit {

    /**
     * Records the end of the request, so that others may run.
     *
     * @param tokens the number of tokens that the request generated, 0 or more
     */
    void release(long tokens);
  }
}
