package io.fireflyshed.daemon.platform;

import io.fireflyshed.platform.StoreConfigurationSource;
import io.fireflyshed.platform.StoreTargetRegistry;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.transport.control.LeaseStore;
import io.fireflyshed.transport.poison.CrashReportExchange;
import io.fireflyshed.transport.registry.EntryRegistrar;
import io.fireflyshed.transport.registry.SharedTableFeed.TableSettings;
import java.time.Duration;
import java.util.Map;

/** Lists the tables that one entry of each availability zone reads for all. */
final class EntryTables {

  /** The shortest time between two reads of the targets for the entries of a zone. */
  private static final Duration TARGETS_INTERVAL = Duration.ofMillis(400);

  /** The shortest time between two reads of the configuration for the entries of a zone. */
  private static final Duration CONFIGURATION_INTERVAL = Duration.ofMillis(400);

  /** The shortest time between two reads of the crash reports for the entries of a zone. */
  private static final Duration CRASH_REPORTS_INTERVAL = Duration.ofMillis(300);

  /** The longest wait for a crash report, after which a reader that fell silent shows. */
  private static final Duration CRASH_REPORTS_WAIT = Duration.ofSeconds(2);

  /** The shortest time between two reads of the entries for the entries of a zone. */
  private static final Duration ENTRIES_INTERVAL = Duration.ofSeconds(1);

  /** The shortest time between two reads of the leases for the entries of a zone. */
  private static final Duration LEASES_INTERVAL = Duration.ofMillis(600);

  private EntryTables() {}

  /** Returns how each table is read. */
  static Map<String, TableSettings> getSettings() {
    return Map.of(
        StoreTargetRegistry.TABLE,
        new TableSettings(TARGETS_INTERVAL, Duration.ZERO, StoreTargetRegistry::getDigest),
        StoreConfigurationSource.TABLE,
        new TableSettings(CONFIGURATION_INTERVAL, Duration.ZERO, Row::value),
        CrashReportExchange.TABLE,
        new TableSettings(CRASH_REPORTS_INTERVAL, CRASH_REPORTS_WAIT, Row::value),
        EntryRegistrar.TABLE,
        new TableSettings(ENTRIES_INTERVAL, Duration.ZERO, Row::version),
        LeaseStore.TABLE,
        new TableSettings(LEASES_INTERVAL, Duration.ZERO, Row::value));
  }
}
