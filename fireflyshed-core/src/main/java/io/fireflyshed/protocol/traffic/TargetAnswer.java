package io.fireflyshed.protocol.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The head of the response of a target.
 *
 * @param status the HTTP status
 * @param headers the headers, not null
 * @param requestId the id of the request to which the target responds, empty if the response has
 *     none, not null
 * @param isSigned whether the response contains a signature of the target
 * @param isNotRun whether the target states that it did not run the request
 * @param load the load of the target, empty if the response does not report it, not null
 * @param requestLimit the requests per second that the target takes from all entries together,
 *     empty if it names no limit, not null
 */
public record TargetAnswer(
    int status,
    HttpHeaders headers,
    Optional<String> requestId,
    boolean isSigned,
    boolean isNotRun,
    Optional<LoadSample> load,
    OptionalDouble requestLimit) {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** A length in bytes; up to 18 digits always fit into a long. */
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  /** Validates the components. */
  public TargetAnswer {
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(load, "load");
    Objects.requireNonNull(requestLimit, "requestLimit");
  }

  /**
   * Tests whether the response states where its body ends. The body of any other response ends with
   * its connection, which may also mean that the target was lost.
   *
   * @return true if the response has a content length or a transfer encoding
   */
  public boolean isDelimited() {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  /**
   * Gets the length that the response states for its body. A response to HEAD states that of the
   * response to GET.
   *
   * @return the length in bytes, empty if none is stated, a transfer encoding replaces it or the
   *     status excludes a body, never null
   */
  public OptionalLong getStatedLength() {
    String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
    boolean isStated =
        length != null
            && LENGTH.matcher(length).matches()
            && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
            && status != NO_CONTENT
            && status != NOT_MODIFIED;
    return isStated ? OptionalLong.of(Long.parseLong(length)) : OptionalLong.empty();
  }

  /**
   * Gets the media type of the body.
   *
   * @return the type in lower case without parameters, empty if the response names none, never null
   */
  public Optional<String> getMediaType() {
    return Optional.ofNullable(headers.get(HttpHeaderNames.CONTENT_TYPE))
        .map(type -> type.split(";", 2)[0].trim().toLowerCase(Locale.ROOT));
  }

  /**
   * Tests whether the status indicates success.
   *
   * @return true for a status from 200 to 299
   */
  public boolean isSuccess() {
    return status >= OK && status < MULTIPLE_CHOICES;
  }
}
