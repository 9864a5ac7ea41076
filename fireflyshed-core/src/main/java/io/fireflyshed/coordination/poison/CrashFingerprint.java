package io.fireflyshed.coordination.poison;

import io.fireflyshed.state.replica.ServiceName;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Identifies something that requests have in common and that may crash the targets that run them.
 *
 * @param kind what is identified, not null
 * @param id the id, unique among those of the kind, not null
 */
public record CrashFingerprint(Kind kind, String id) {

  /** Lists what a fingerprint can identify. */
  public enum Kind {
    /** All copies of one request. */
    REQUEST,
    /** All requests whose prompts contain a certain part. */
    PART
  }

  private static final int HEX_DIGITS = 32;

  /** Separates the kind and the id in the text form. */
  private static final String SEPARATOR = "-";

  /** Validates the components. */
  public CrashFingerprint {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(id, "id");
  }

  /**
   * Computes the fingerprint of a request whose content is opaque. A caller that sends the same
   * request again gets the same fingerprint.
   *
   * @param service the service that is to run the request, not null
   * @param account the name of the client account, empty on public routes, not null
   * @param path the host, path and query of the request, not null
   * @param body adds the complete body to a digest, not null
   * @return the fingerprint, never null
   */
  public static CrashFingerprint ofRequest(
      ServiceName service, Optional<String> account, String path, Consumer<MessageDigest> body) {
    String head = service + "\n" + account.orElse("") + "\n" + path + "\n";
    return new CrashFingerprint(Kind.REQUEST, digest(head, body));
  }

  /**
   * Creates the fingerprint of a part of a prompt.
   *
   * @param service the service that is to run the request, not null
   * @param partId the id of the part, not null
   * @return the fingerprint, never null
   */
  public static CrashFingerprint ofPart(ServiceName service, String partId) {
    String id = partId.length() <= HEX_DIGITS ? partId : digest(partId, digest -> {});
    return new CrashFingerprint(Kind.PART, service + SEPARATOR + id);
  }

  /**
   * Returns the service of a part of prompts.
   *
   * @return the name of the service; the whole id if it names none, as that of a request; never
   *     null
   */
  String getService() {
    int separator = id.lastIndexOf(SEPARATOR);
    return separator < 0 ? id : id.substring(0, separator);
  }

  private static String digest(String head, Consumer<MessageDigest> rest) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    rest.accept(digest);
    return Hex.encodeHexString(digest.digest()).substring(0, HEX_DIGITS);
  }

  /**
   * Parses the text form.
   *
   * @param text the text that {@link #toString} returned, not null
   * @return the fingerprint, never null
   * @throws IllegalArgumentException if the text is not a fingerprint
   */
  public static CrashFingerprint parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0 || separator == text.length() - 1) {
      throw new IllegalArgumentException("not a fingerprint: " + text);
    }
    Kind kind = Kind.valueOf(text.substring(0, separator).toUpperCase(Locale.ROOT));
    return new CrashFingerprint(kind, text.substring(separator + 1));
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT) + SEPARATOR + id;
  }
}
