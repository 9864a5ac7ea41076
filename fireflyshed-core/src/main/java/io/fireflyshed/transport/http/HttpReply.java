package io.fireflyshed.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the headers, not null
 * @param body the body, not null
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

  /**
   * Decodes the body as UTF-8.
   *
   * @return the text, never null
   */
  public String getText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Tests whether the status signals success.
   *
   * @return true for a status from 200 to 299
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
