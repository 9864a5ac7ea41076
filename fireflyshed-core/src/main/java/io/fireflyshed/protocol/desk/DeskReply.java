package io.fireflyshed.protocol.desk;

import java.util.Objects;

/**
 * Holds what a plain service answered.
 *
 * @param status the HTTP status
 * @param body the body, not null
 */
public record DeskReply(int status, String body) {

  /** Checks the parts of the record. */
  public DeskReply {
    Objects.requireNonNull(body, "body");
  }

  /**
   * Tests whether the service did what it was asked.
   *
   * @return true for a status of 200 to 299
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
