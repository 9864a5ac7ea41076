package io.fireflyshed.daemon.entry;

import io.fireflyshed.transport.control.ControlSettings;
import io.fireflyshed.transport.entry.EntrySettings;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * The settings of an entry process.
 *
 * @param control the settings of the control thread, not null
 * @param planner the settings of the planner that the process uses as coordinator of its zone, not
 *     null
 * @param entry the settings of the HTTP server for callers, not null
 * @param platform the address of the platform, not null
 * @param accounts the bearer keys by the names of the client accounts, copied, not null
 * @param site the site of the process, its peers and its operator API, not null
 * @param traffic the settings of limits and routing, not null
 * @param otlpEndpoint the URL of the OTLP collector without a path, empty to export no traces, not
 *     null
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

  /** Validates the components and copies the map. */
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
