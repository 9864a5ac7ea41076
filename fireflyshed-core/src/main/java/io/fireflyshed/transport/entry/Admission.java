package io.fireflyshed.transport.entry;

import reactor.core.publisher.Mono;

/** Lets requests in or refuses them. Implementations are thread safe. */
public interface Admission {

  /**
   * Waits for permission to run a request.
   *
   * @param request the request, not null
   * @return the permit, which must be released; it fails with a {@link
   *     io.fireflyshed.protocol.problem.ProblemException} if the request is refused. Cancelling
   *     gives the place in the queue up
   */
  Mono<Permit> admit(AdmissionRequest request);

  /** Permission to run one request. */
  @FunctionalInterface
  interface Permit {

    /**
     * Gives the permission back.
     *
     * @param tokens the number of tokens that were generated, 0 or more
     */
    void release(long tokens);
  }
}
