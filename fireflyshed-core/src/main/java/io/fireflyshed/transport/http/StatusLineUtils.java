package io.fireflyshed.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.regex.Pattern;
import reactor.netty.http.client.HttpClientResponse;

/** Tests whether responses have a status that HTTP defines. */
public final class StatusLineUtils {

  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private static final Pattern VERSION = Pattern.compile("HTTP/[1-9]\\.", Pattern.CASE_INSENSITIVE);

  /** A status line whose status may be malformed, but is not a part of a longer word. */
  private static final Pattern STATUS_LINE =
      Pattern.compile(VERSION + "\\d[ \t]+[+-]?\\d+(\\s|$)", Pattern.CASE_INSENSITIVE);

  private StatusLineUtils() {}

  /**
   * Tests whether a status is that of a final response.
   *
   * @param status the status
   * @return whether it is between 200 and 599
   */
  public static boolean isFinalStatus(int status) {
    return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
  }

  /**
   * Tests whether a response has the status of a final response. What follows any other status
   * means nothing that can be relied on.
   *
   * @param response the response, not null
   * @return whether its status is valid
   */
  public static boolean isValid(HttpClientResponse response) {
    return isFinalStatus(response.status().code());
  }

  /**
   * Describes a status that is not valid.
   *
   * @param response the response, not null
   * @return the description, never null
   */
  public static String describe(HttpClientResponse response) {
    return "the response has the status " + response.status().code();
  }

  /**
   * Tests whether the value of a header contains a status line. It then is that of a response that
   * was cut off, to which another response was appended.
   *
   * @param headers the headers of a response, not null
   * @return whether a value contains a status line
   */
  public static boolean containsStatusLine(HttpHeaders headers) {
    return headers.entries().stream().anyMatch(h -> containsStatusLine(h.getValue()));
  }

  /** Tests whether a text contains a status line, with a status that may be malformed. */
  static boolean containsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }

  /** Tests whether a text contains the version with which a status line begins. */
  static boolean containsVersion(String text) {
    return VERSION.matcher(text).find();
  }
}
