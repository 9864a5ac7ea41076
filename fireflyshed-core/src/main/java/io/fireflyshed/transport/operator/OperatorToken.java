package io.fireflyshed.transport.operator;

import java.util.Objects;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Holds the digest of a bearer token of an operator.
 *
 * @param operator the name of the operator, for the audit log, not null
 * @param role what the operator may do, not null
 * @param digest the SHA-256 of the token in hexadecimal digits, not null
 */
public record OperatorToken(String operator, OperatorRole role, String digest) {

  /** Checks the parts of the record. */
  public OperatorToken {
    Objects.requireNonNull(operator, "operator");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(digest, "digest");
  }

  /**
   * Creates a record of a token.
   *
   * @param operator the name of the operator, not null
   * @param role what the operator may do, not null
   * @param token the token, which is not kept, not null
   * @return the record, never null
   */
  public static OperatorToken of(String operator, OperatorRole role, String token) {
    return new OperatorToken(operator, role, DigestUtils.sha256Hex(token));
  }
}
