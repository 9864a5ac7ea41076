package io.fireflyshed.transport.operator;

import java.util.Objects;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The digest of an operator's bearer token and what its holder may do.
 *
 * @param operator the name of the operator, which appears in the audit log, not null
 * @param role what the operator may do, not null
 * @param digest the SHA-256 of the token in hexadecimal digits, not null
 */
public record OperatorToken(String operator, OperatorRole role, String digest) {

  /** Validates the components. */
  public OperatorToken {
    Objects.requireNonNull(operator, "operator");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(digest, "digest");
  }

  /**
   * Creates a record from a token.
   *
   * @param operator the name of the operator, not null
   * @param role what the operator may do, not null
   * @param token the token, of which only the digest is kept, not null
   * @return the record, never null
   */
  public static OperatorToken of(String operator, OperatorRole role, String token) {
    return new OperatorToken(operator, role, DigestUtils.sha256Hex(token));
  }
}
