package io.fireflyshed.coordination.poison;

import io.fireflyshed.state.replica.ServiceName;
import org.apache.commons.codec.digest.DigestUtils;

/** Computes the fingerprints that identify requests in a {@link PoisonList}. */
public final class PoisonFingerprint {

  private static final int HEX_DIGITS = 32;

  private PoisonFingerprint() {}

  /**
   * Computes the fingerprint of a completion request.
   *
   * @param service the model service, not null
   * @param prompt the prompt, not null
   * @return 32 hexadecimal digits, never null
   */
  public static String of(ServiceName service, String prompt) {
    return DigestUtils.sha256Hex(service + "\n" + prompt).substring(0, HEX_DIGITS);
  }
}
