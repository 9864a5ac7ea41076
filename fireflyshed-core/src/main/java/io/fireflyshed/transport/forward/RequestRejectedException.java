package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Objects;

/** Signals that a target responded that it did not run a request. */
public final class RequestRejectedException extends AttemptException {

  private static final long serialVersionUID = 1L;

  private final transient TargetAnswer response;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, not null
   * @param response the head of the target's response, not null
   */
  public RequestRejectedException(String step, String peer, TargetAnswer response) {
    super(
        step,
        peer,
        Outcome.NOT_RUN,
        "the target responded with status " + response.status() + " and did not run the request",
        null);
    this.response = Objects.requireNonNull(response, "response");
  }

  /**
   * Gets the head of the target's response.
   *
   * @return the head, never null
   */
  public TargetAnswer getResponse() {
    return response;
  }

  /**
   * Tests whether another target than the addressed one may have responded.
   *
   * @return true if the status is 421, "misdirected request"
   */
  public boolean isMisdirected() {
    return response.status() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }
}
