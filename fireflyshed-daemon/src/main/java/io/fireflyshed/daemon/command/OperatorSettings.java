package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingParsers;
import io.fireflyshed.state.IdentifierUtils;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The settings of the commands that call the operator API of entries. */
final class OperatorSettings {

  static final Setting<InetSocketAddress> ENTRY =
      new Setting<>(
          "entry",
          SettingParsers.ADDRESS,
          "127.0.0.1:8090",
          "operator API address of an entry; may be repeated for config status",
          false,
          SettingArity.MANY,
          SettingParsers::parseAddress);

  static final Setting<String> TOKEN =
      new Setting<>(
          "token",
          "a token",
          null,
          "bearer token of the operator",
          true,
          SettingArity.ONE,
          text -> text);

  static final Setting<Duration> WAIT =
      Setting.of(
          "wait",
          SettingParsers.DURATION,
          "0s",
          "maximum wait until the version is in force at all entries",
          SettingParsers::parseDuration);

  static final Setting<String> INSTANCE =
      Setting.of(
          "instance",
          "a name of letters, digits, dots, dashes or underscores",
          null,
          "name of the instance",
          text -> IdentifierUtils.requireIdentifier("instance", text));

  static final Setting<String> REASON =
      Setting.of(
          "reason",
          "1 to 200 characters",
          null,
          "reason for the drain, recorded in the configuration",
          text -> text);

  private OperatorSettings() {}
}
