package io.fireflyshed.coordination.poison;

import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The fingerprints of one request.
 *
 * @param request identifies the copies of the request, not null
 * @param parts identify the parts of its prompt that other requests may contain, copied, not null
 * @param pool the model that the request is for, empty if unknown, not null
 */
public record RequestFingerprints(
    CrashFingerprint request, Set<CrashFingerprint> parts, String pool) {

  /**
   * Creates the fingerprints of a request whose model is unknown.
   *
   * @param request identifies the copies of the request, not null
   * @param parts identify the parts of its prompt, not null
   */
  public RequestFingerprints(CrashFingerprint request, Set<CrashFingerprint> parts) {
    this(request, parts, "");
  }

  /** Validates the components and copies the set. */
  public RequestFingerprints {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(pool, "pool");
    parts = Set.copyOf(parts);
  }

  /**
   * Returns all fingerprints.
   *
   * @return a stream of the request and its parts, never null
   */
  public Stream<CrashFingerprint> stream() {
    return Stream.concat(Stream.of(request), parts.stream());
  }
}
