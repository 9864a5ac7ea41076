package io.fireflyshed.transport.entry;

import io.fireflyshed.state.configuration.AccountConfiguration;
import io.fireflyshed.state.configuration.KeyHash;
import io.fireflyshed.state.configuration.SiteConfiguration;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Knows the accounts of the configuration in force by the salted hashes of their keys. Thread safe.
 *
 * <p>A key reads {@code ACCOUNT.SECRET}, so that a lookup costs a hash for each key of one account.
 * Until a configuration is in force, another directory is asked.
 */
public final class ConfiguredAccountDirectory implements AccountDirectory {

  private final Supplier<Optional<SiteConfiguration>> configurations;
  private final AccountDirectory fallback;

  /**
   * Creates a directory.
   *
   * @param configurations gets the configuration in force, not null
   * @param fallback is asked while there is none, not null
   */
  public ConfiguredAccountDirectory(
      Supplier<Optional<SiteConfiguration>> configurations, AccountDirectory fallback) {
    this.configurations = Objects.requireNonNull(configurations, "configurations");
    this.fallback = Objects.requireNonNull(fallback, "fallback");
  }

  /**
   * Computes the hash that the configuration holds of a key.
   *
   * @param salt the salt in hexadecimal digits, not null
   * @param key the key, not null
   * @return the hash in hexadecimal digits, never null
   */
  public static String toHash(String salt, String key) {
    return DigestUtils.sha256Hex(salt + key);
  }

  @Override
  public Optional<String> findAccount(String key) {
    Optional<SiteConfiguration> configuration = configurations.get();
    if (configuration.isEmpty()) {
      return fallback.findAccount(key);
    }
    int dot = key.lastIndexOf('.');
    if (dot < 1) {
      return Optional.empty();
    }
    return Optional.ofNullable(configuration.get().accounts().get(key.substring(0, dot)))
        .filter(a -> hasKey(a, key))
        .map(AccountConfiguration::name);
  }

  private static boolean hasKey(AccountConfiguration account, String key) {
    return account.keys().stream().anyMatch(k -> isMatch(k, key));
  }

  private static boolean isMatch(KeyHash known, String key) {
    byte[] expected = known.hash().getBytes(StandardCharsets.US_ASCII);
    byte[] actual = toHash(known.salt(), key).getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(expected, actual);
  }
}
