package io.fireflyshed.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * Holds a complete HTTP response.
 *
 * @param status the status code
 * @param headers the headers, not null
 * @param body the body, not null
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

  /**
   * Gets the body as text in UTF-8.
   *
   * @return the text, never null
   */
  public String getText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Tests whether the status tells success.
   *
   * @return true for 200 to 299
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
