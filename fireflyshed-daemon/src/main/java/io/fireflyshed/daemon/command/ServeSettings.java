package io.fireflyshed.daemon.command;

import io.fireflyshed.daemon.entry.EntryDaemonSettings;
import io.fireflyshed.daemon.entry.SiteSettings;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingParsers;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.state.IdentifierUtils;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.transport.control.ControlSettings;
import io.fireflyshed.transport.control.CoordinatorSettings;
import io.fireflyshed.transport.entry.EntrySettings;
import io.fireflyshed.transport.operator.OperatorRole;
import io.fireflyshed.transport.operator.OperatorToken;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The settings of an entry process. */
final class ServeSettings {

  static final Setting<InetSocketAddress> LISTEN =
      Setting.of(
          "listen",
          SettingParsers.ADDRESS,
          "127.0.0.1:8080",
          "address on which to serve callers",
          SettingParsers::parseAddress);

  static final Setting<InetSocketAddress> PLATFORM =
      Setting.of(
          "platform",
          SettingParsers.ADDRESS,
          "127.0.0.1:8700",
          "address of the table service, object store and instance list",
          SettingParsers::parseAddress);

  static final Setting<AvailabilityZone> ZONE =
      Setting.of(
          "zone",
          "a name of letters, digits, dots, dashes or underscores",
          "zone-a",
          "availability zone of this process",
          AvailabilityZone::new);

  static final Setting<String> SITE =
      Setting.of(
          "site",
          "a name of letters, digits, dots, dashes or underscores",
          "site",
          "site of this process; selects the overlay of the configuration",
          text -> IdentifierUtils.requireIdentifier("site", text));

  static final Setting<Optional<InetSocketAddress>> PEER_LISTEN =
      Setting.of(
          "peer-listen",
          SettingParsers.ADDRESS + ", or empty for none",
          "",
          "address on which to listen for peers, that is, other entry processes",
          ServeSettings::parseOptionalAddress);

  static final Setting<InetSocketAddress> PEER_SEED =
      new Setting<>(
          "peer-seed",
          SettingParsers.ADDRESS,
          null,
          "address of a peer, to find the other peers without the platform; may be repeated",
          false,
          SettingArity.MANY,
          SettingParsers::parseAddress);

  static final Setting<Optional<InetSocketAddress>> OPERATOR_LISTEN =
      Setting.of(
          "operator-listen",
          SettingParsers.ADDRESS + ", or empty for none",
          "",
          "address on which to serve the operator API",
          ServeSettings::parseOptionalAddress);

  static final Setting<OperatorToken> OPERATOR_TOKEN =
      new Setting<>(
          "operator-token",
          "NAME:ROLE:TOKEN with a role of read, drain or configure",
          null,
          "name, role and bearer token of an operator; may be repeated",
          true,
          SettingArity.MANY,
          ServeSettings::parseToken);

  static final Setting<ModelServiceSpec> MODEL_SERVICE =
      new Setting<>(
          "model-service",
          "NAME:MODEL:INSTANCES_PER_REPLICA:REPLICAS_PER_ZONE",
          "cards:cards-1:3:2",
          "model service to run until a configuration is applied; may be repeated",
          false,
          SettingArity.MANY,
          ServeSettings::parseService);

  static final Setting<Map.Entry<String, String>> ACCOUNT =
      new Setting<>(
          "account",
          "NAME:KEY",
          null,
          "bearer key of a client account until a configuration is applied; may be repeated",
          true,
          SettingArity.MANY,
          ServeSettings::parseAccount);

  static final Setting<Duration> PROBE_INTERVAL =
      Setting.ofDuration("probe-interval", "500ms", "time between probes of an instance");

  static final Setting<Duration> EVIDENCE_MAX_AGE =
      Setting.ofDuration("evidence-max-age", "2s", "age at which evidence of health expires");

  static final Setting<Duration> REFRESH_INTERVAL =
      Setting.ofDuration(
          "refresh-interval", "1s", "time between reads of the instance list and the assignments");

  static final Setting<Duration> STREAM_DRAIN_TIME =
      Setting.ofDuration(
          "stream-drain-time",
          "30s",
          "time that streams have to finish on a draining replica before they are moved");

  static final Setting<Boolean> ENGINE_FENCING =
      Setting.of(
          "engine-fencing",
          "true or false",
          "false",
          "whether all engines reject orders with an outdated fencing token",
          ServeSettings::parseBoolean);

  static final Setting<Duration> BODY_TIMEOUT =
      Setting.ofDuration("body-timeout", "10s", "maximum wait for a request body");

  static final Setting<Duration> DRAIN_DELAY =
      Setting.ofDuration(
          "drain-delay",
          "5s",
          "time at shutdown between reporting not ready and refusing new requests");

  static final Setting<Duration> DRAIN_TIMEOUT =
      Setting.ofDuration("drain-timeout", "1m", "maximum wait at shutdown for requests in flight");

  static final Setting<Integer> MAX_BODY_BYTES =
      Setting.ofInteger(
          "max-body-bytes", 1, 64 << 20, 4194304, "maximum size of a request body in bytes");

  static final Setting<LogFormat> LOG_FORMAT =
      Setting.of(
          "log-format",
          "text or json",
          "text",
          "format of log lines",
          SettingParsers.newEnumParser(LogFormat.class));

  static final Setting<String> OTLP_ENDPOINT =
      Setting.of(
          "otlp-endpoint",
          "an http or https URL without a path, or empty for no export",
          "",
          "OTLP/HTTP collector to export traces to",
          ServeSettings::parseUrl);

  static final List<Setting<?>> ALL =
      Stream.concat(
              Stream.<Setting<?>>of(
                  LISTEN,
                  PLATFORM,
                  ZONE,
                  SITE,
                  PEER_LISTEN,
                  PEER_SEED,
                  OPERATOR_LISTEN,
                  OPERATOR_TOKEN,
                  MODEL_SERVICE,
                  ACCOUNT,
                  PROBE_INTERVAL,
                  EVIDENCE_MAX_AGE,
                  REFRESH_INTERVAL,
                  STREAM_DRAIN_TIME,
                  ENGINE_FENCING,
                  PlannerFlags.PLANNER,
                  PlannerFlags.LOAD_TIME,
                  PlannerFlags.LOAD_SLOTS,
                  PlannerFlags.FLOOR_PERCENT,
                  PlannerFlags.MAX_CHANGING,
                  BODY_TIMEOUT,
                  DRAIN_DELAY,
                  DRAIN_TIMEOUT,
                  MAX_BODY_BYTES,
                  LOG_FORMAT,
                  OTLP_ENDPOINT),
              TrafficFlags.ALL.stream())
          .toList();

  private ServeSettings() {}

  /** Converts parsed values to the settings of an entry process. */
  static EntryDaemonSettings toDaemonSettings(SettingValues values) {
    ControlSettings control =
        new ControlSettings(
            values.get(ZONE),
            values.getAll(MODEL_SERVICE),
            values.get(PROBE_INTERVAL),
            values.get(EVIDENCE_MAX_AGE),
            values.get(REFRESH_INTERVAL),
            CoordinatorSettings.of(
                values.get(EVIDENCE_MAX_AGE),
                values.get(STREAM_DRAIN_TIME),
                values.get(ENGINE_FENCING)));
    EntrySettings entry =
        new EntrySettings(
            values.get(LISTEN),
            values.get(MAX_BODY_BYTES),
            values.get(BODY_TIMEOUT),
            values.get(DRAIN_DELAY),
            values.get(DRAIN_TIMEOUT));
    Map<String, String> accounts = new HashMap<>();
    values.getAll(ACCOUNT).forEach(a -> accounts.put(a.getKey(), a.getValue()));
    return new EntryDaemonSettings(
        control,
        PlannerFlags.toSettings(values),
        entry,
        values.get(PLATFORM),
        accounts,
        toSiteSettings(values),
        TrafficFlags.toSettings(values),
        values.get(OTLP_ENDPOINT));
  }

  private static SiteSettings toSiteSettings(SettingValues values) {
    return new SiteSettings(
        values.get(SITE),
        values.get(PEER_LISTEN),
        values.getAll(PEER_SEED),
        values.get(OPERATOR_LISTEN),
        values.getAll(OPERATOR_TOKEN));
  }

  private static Optional<InetSocketAddress> parseOptionalAddress(String text) {
    return text.isEmpty() ? Optional.empty() : Optional.of(SettingParsers.parseAddress(text));
  }

  private static OperatorToken parseToken(String text) {
    String[] parts = text.split(":", 3);
    if (parts.length != 3 || parts[0].isEmpty() || parts[2].isEmpty()) {
      throw new IllegalArgumentException("not three parts separated by colons");
    }
    OperatorRole role = SettingParsers.newEnumParser(OperatorRole.class).apply(parts[1]);
    return OperatorToken.of(parts[0], role, parts[2]);
  }

  private static ModelServiceSpec parseService(String text) {
    String[] parts = text.split(":", -1);
    if (parts.length != 4 || parts[1].isEmpty()) {
      throw new IllegalArgumentException("not four parts separated by colons");
    }
    return new ModelServiceSpec(
        new ServiceName(parts[0]),
        parts[1],
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]));
  }

  private static Map.Entry<String, String> parseAccount(String text) {
    int colon = text.indexOf(':');
    if (colon < 1 || colon == text.length() - 1) {
      throw new IllegalArgumentException("not NAME:KEY");
    }
    return Map.entry(text.substring(0, colon), text.substring(colon + 1));
  }

  private static boolean parseBoolean(String text) {
    if (!text.equals("true") && !text.equals("false")) {
      throw new IllegalArgumentException("not true or false");
    }
    return Boolean.parseBoolean(text);
  }

  private static String parseUrl(String text) {
    if (!text.isEmpty() && !text.startsWith("http://") && !text.startsWith("https://")) {
      throw new IllegalArgumentException("not a URL");
    }
    return text;
  }
}
