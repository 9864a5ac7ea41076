package io.fireflyshed.daemon.command;

import io.fireflyshed.coordination.limits.AccountLimit;
import io.fireflyshed.coordination.limits.LimitSettings;
import io.fireflyshed.daemon.entry.TrafficSettings;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingException;
import io.fireflyshed.daemon.settings.SettingValues;
import java.time.Duration;
import java.util.List;

/** The settings of limits and routing. */
final class TrafficFlags {

  static final Setting<AccountLimit> ACCOUNT_LIMIT =
      new Setting<>(
          "account-limit",
          "NAME:WEIGHT:REQUESTS_PER_SECOND:MAX_CONCURRENT, 0 for no limit",
          null,
          "fair-queueing weight and limits of a client account over all entries; may be repeated",
          false,
          SettingArity.MANY,
          TrafficFlags::parseAccountLimit);

  static final Setting<Integer> MAX_ENTRIES =
      Setting.ofInteger(
          "max-entries", 1, 10_000, 9, "maximum number of entry processes alive at the same time");

  static final Setting<Duration> SHARE_LEASE =
      Setting.ofDuration("share-lease", "3s", "how long a borrowed share of a limit may be used");

  static final Setting<Duration> MAX_RUN_TIME =
      Setting.ofDuration("max-run-time", "10m", "maximum run time of a request");

  static final Setting<Duration> QUEUE_TIMEOUT =
      Setting.ofDuration("queue-timeout", "10s", "maximum time that a request is queued");

  static final Setting<Integer> MAX_QUEUED =
      Setting.ofInteger(
          "max-queued", 1, 1_000_000, 2_000, "maximum number of queued requests in this entry");

  static final Setting<Integer> REPLICA_CONCURRENCY =
      Setting.ofInteger(
          "replica-concurrency",
          1,
          100_000,
          64,
          "maximum number of concurrent requests on a replica over all entries");

  static final Setting<Duration> ZONE_COST =
      Setting.ofDuration(
          "zone-cost", "2ms", "additional latency to a replica in another availability zone");

  static final Setting<Integer> LOAD_POLLS =
      Setting.ofInteger(
          "load-polls",
          1,
          1_000,
          20,
          "maximum number of replicas polled for their load per second");

  static final List<Setting<?>> ALL =
      List.of(
          ACCOUNT_LIMIT,
          MAX_ENTRIES,
          SHARE_LEASE,
          MAX_RUN_TIME,
          QUEUE_TIMEOUT,
          MAX_QUEUED,
          REPLICA_CONCURRENCY,
          ZONE_COST,
          LOAD_POLLS);

  private TrafficFlags() {}

  /** Converts parsed values to the settings of limits and routing. */
  static TrafficSettings toSettings(SettingValues values) {
    List<AccountLimit> limits = values.getAll(ACCOUNT_LIMIT);
    if (limits.stream().map(AccountLimit::account).distinct().count() != limits.size()) {
      throw new SettingException("--account-limit is given more than once for a client account");
    }
    return new TrafficSettings(
        LimitSettings.of(
            limits,
            values.get(MAX_ENTRIES),
            values.get(SHARE_LEASE),
            values.get(MAX_RUN_TIME),
            values.get(QUEUE_TIMEOUT),
            values.get(MAX_QUEUED)),
        values.get(REPLICA_CONCURRENCY),
        values.get(ZONE_COST),
        values.get(LOAD_POLLS));
  }

  private static AccountLimit parseAccountLimit(String text) {
    String[] parts = text.split(":", -1);
    if (parts.length != 4 || parts[0].isEmpty()) {
      throw new IllegalArgumentException("not four parts separated by colons");
    }
    return new AccountLimit(
        parts[0],
        Double.parseDouble(parts[1]),
        Double.parseDouble(parts[2]),
        Integer.parseInt(parts[3]));
  }
}
