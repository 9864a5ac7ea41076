package io.fireflyshed.protocol.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds the head of a target's answer.
 *
 * @param status the status
 * @param headers the headers, not null
 * @param requestId the id of the request that the target answers, not null
 * @param isSigned whether the answer bears the target's signature
 * @param isNotRun whether the target says that it did not run the request
 * @param load the load of the target, not null
 */
public record TargetAnswer(
    int status,
    HttpHeaders headers,
    Optional<String> requestId,
    boolean isSigned,
    boolean isNotRun,
    Optional<LoadSample> load) {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;

  /** Checks the parts of the record. */
  public TargetAnswer {
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(load, "load");
  }

  /**
   * Tests whether the status tells success.
   *
   * @return true for a status from 200 to 299
   */
  public boolean isSuccess() {
    return status >= OK && status < MULTIPLE_CHOICES;
  }
}
