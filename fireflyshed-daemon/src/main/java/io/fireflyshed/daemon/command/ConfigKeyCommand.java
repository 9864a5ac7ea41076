package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.state.IdentifierUtils;
import io.fireflyshed.transport.entry.ConfiguredAccountDirectory;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.List;
import org.apache.commons.codec.binary.Hex;

/** Generates a key for a client account. */
public final class ConfigKeyCommand implements Command {

  private static final int SECRET_BYTES = 32;
  private static final int SALT_BYTES = 16;

  private static final Setting<String> ACCOUNT =
      Setting.of(
          "of-account",
          "a name of letters, digits, dots, dashes or underscores",
          null,
          "name of the client account",
          text -> IdentifierUtils.requireIdentifier("account", text));

  @Override
  public String getName() {
    return "config key";
  }

  @Override
  public String getSummary() {
    return "Generates a key for a client account and the configuration lines with its hash.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(ACCOUNT);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    SecureRandom random = new SecureRandom();
    String key = values.get(ACCOUNT) + "." + newHex(random, SECRET_BYTES);
    String salt = newHex(random, SALT_BYTES);
    out.println("# key for the caller, shown only once: " + key);
    out.println("- salt: \"" + salt + "\"");
    out.println("  hash: " + ConfiguredAccountDirectory.toHash(salt, key));
    return EXIT_OK;
  }

  private static String newHex(SecureRandom random, int bytes) {
    byte[] data = new byte[bytes];
    random.nextBytes(data);
    return Hex.encodeHexString(data);
  }
}
