package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.OptionalInt;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Sends problems as responses. */
final class ProblemWriter {

  private static final Logger LOG = LoggerFactory.getLogger(ProblemWriter.class);

  private ProblemWriter() {}

  /** Converts an error to the problem that is sent to the caller. */
  static Problem toProblem(Throwable error) {
    if (error instanceof ProblemException e) {
      return e.getProblem();
    }
    LOG.error("entry: request failed with an unexpected error", error);
    return new Problem(
        500,
        "internal",
        "unexpected error",
        "serve",
        "entry",
        Outcome.UNKNOWN,
        false,
        OptionalInt.empty());
  }

  /** Sends a problem as the complete response. */
  static Publisher<Void> send(HttpServerResponse response, Problem problem) {
    problem
        .retryAfterSeconds()
        .ifPresent(
            seconds -> response.header(HttpHeaderNames.RETRY_AFTER, String.valueOf(seconds)));
    return response
        .status(problem.status())
        .header(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE)
        .sendString(Mono.just(problem.toJson()));
  }
}
