package io.fireflyshed.daemon.entry;

import io.fireflyshed.transport.control.ControlSettings;
import io.fireflyshed.transport.entry.EntrySettings;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * Holds the settings of an entry process.
 *
 * @param control the settings of the control thread, not null
 * @param planner the settings of the planner of the zone, not null
 * @param entry the settings of the server for callers, not null
 * @param platform the address of the platform, not null
 * @param accounts the bearer key of each client account, copied, not null
 * @param site the settings by which it takes part in its site, not null
 * @param traffic the settings of limits and routing, not null
 * @param otlpEndpoint where to export traces, empty for nowhere, not null
 */
public record EntryDaemonSettings(
    ControlSettings control,
    PlannerSettings planner,
    EntrySettings entry,
    InetSocketAddress platform,
    Map<String, String> accounts,
    SiteSettings site,
    TrafficSettings traffic,
    String otlpEndpoint) {

  /** Checks the parts and copies the map. */
  public EntryDaemonSettings {
    Objects.requireNonNull(control, "control");
    Objects.requireNonNull(planner, "planner");
    Objects.requireNonNull(entry, "entry");
    Objects.requireNonNull(platform, "platform");
    accounts = Map.copyOf(accounts);
    Objects.requireNonNull(site, "site");
    Objects.requireNonNull(traffic, "traffic");
    Objects.requireNonNull(otlpEndpoint, "otlpEndpoint");
  }
}
