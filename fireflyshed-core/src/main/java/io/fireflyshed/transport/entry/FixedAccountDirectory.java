package io.fireflyshed.transport.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;

/** Finds accounts in a fixed set, which holds the digests of their keys. Thread safe. */
public final class FixedAccountDirectory implements AccountDirectory {

  private final Map<String, String> accountsByDigest = new HashMap<>();

  /**
   * Creates a directory.
   *
   * @param keysByAccount the key of each account by its name, not null
   */
  public FixedAccountDirectory(Map<String, String> keysByAccount) {
    keysByAccount.forEach(
        (account, key) -> accountsByDigest.put(DigestUtils.sha256Hex(key), account));
  }

  @Override
  public Optional<String> findAccount(String key) {
    return Optional.ofNullable(accountsByDigest.get(DigestUtils.sha256Hex(key)));
  }
}
