package io.fireflyshed.protocol.desk;

import java.util.Objects;

/**
 * The response of a plain service to an order or a lookup, which is also the reply to the caller.
 *
 * @param status the HTTP status
 * @param body the body, not null
 */
public record DeskReply(int status, String body) {

  /** Validates the components. */
  public DeskReply {
    Objects.requireNonNull(body, "body");
  }

  /**
   * Tests whether the status indicates success.
   *
   * @return true for a status of 200 to 299
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
