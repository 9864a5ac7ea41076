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
 * Finds accounts in the configuration in force, which holds salted hashes of their keys. Thread
 * safe.
 *
 * <p>A key has the form {@code ACCOUNT.SECRET}, so a lookup computes only one hash for each key of
 * that account. While no configuration is in force, lookups go to a fallback.
 */
public final class ConfiguredAccountDirectory implements AccountDirectory {

  private final Supplier<Optional<SiteConfiguration>> configurations;
  private final AccountDirectory fallback;

  /**
   * Creates a directory.
   *
   * @param configurations supplies the configuration in force, or empty if there is none, not null
   * @param fallback finds accounts while no configuration is in force, not null
   */
  public ConfiguredAccountDirectory(
      Supplier<Optional<SiteConfiguration>> configurations, AccountDirectory fallback) {
    this.configurations = Objects.requireNonNull(configurations, "configurations");
    this.fallback = Objects.requireNonNull(fallback, "fallback");
  }

  /**
   * Computes the hash of a key as the configuration stores it.
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
        .filter(account -> hasKey(account, key))
        .map(AccountConfiguration::name);
  }

  private static boolean hasKey(AccountConfiguration account, String key) {
    return account.keys().stream().anyMatch(hash -> isMatch(hash, key));
  }

  private static boolean isMatch(KeyHash stored, String key) {
    byte[] expected = stored.hash().getBytes(StandardCharsets.US_ASCII);
    byte[] actual = toHash(stored.salt(), key).getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(expected, actual);
  }
}
