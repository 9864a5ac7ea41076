package io.fireflyshed.transport.registry;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.address.AddressUtils;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.transport.log.EventLog;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Encodes the row of an entry, and lists the entries of all availability zones from the rows that
 * were read.
 *
 * <p>The key of a row is the zone and the name of the entry. Its value contains the address at
 * which the entry listens for others and its processor cores; entries of earlier versions repeat
 * the key instead. Used on the control thread only, except the published list.
 */
final class EntryRows {

  private static final String ADDRESS = "address";
  private static final String CORES = "cores";

  /** No entry of a deployment has more processor cores. */
  private static final double MAX_CORES = 4096;

  /** Holds the last version of a row and when it was first seen. */
  private record Sighting(Row row, long changeNanos) {}

  private final RowKey self;
  private final Duration expiry;
  private final EventLog log;
  private final Map<RowKey, Sighting> sightings = new HashMap<>();
  private final Set<RowKey> invalidRows = new HashSet<>();
  private volatile List<EntryPeer> peers = List.of();

  /**
   * Creates an empty list.
   *
   * @param self the row of this entry, which is never listed, not null
   * @param expiry the time without a change of its row after which an entry is not listed, not null
   * @param log the log, not null
   */
  EntryRows(RowKey self, Duration expiry, EventLog log) {
    this.self = self;
    this.expiry = expiry;
    this.log = log;
  }

  /** Encodes the value of the row of an entry. */
  static String encode(RowKey key, Optional<InetSocketAddress> address, double cores) {
    return address
        .map(
            a ->
                JsonUtils.toText(
                    JsonUtils.getMapper()
                        .createObjectNode()
                        .put(ADDRESS, a.getHostString() + ":" + a.getPort())
                        .put(CORES, cores)))
        .orElse(key.key());
  }

  /** Returns the entries as of the last read, in no particular order. Thread safe. */
  List<EntryPeer> getPeers() {
    return peers;
  }

  /**
   * Replaces the rows whose keys have a prefix.
   *
   * @param prefix the prefix, empty for all rows, not null
   * @param rows all rows with the prefix, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  void apply(String prefix, List<Row> rows, long nowNanos) {
    Map<RowKey, Row> read = new HashMap<>();
    rows.forEach(row -> read.put(row.key(), row));
    sightings.keySet().removeIf(k -> k.key().startsWith(prefix) && !read.containsKey(k));
    invalidRows.retainAll(sightings.keySet());
    for (Row row : rows) {
      Sighting known = sightings.get(row.key());
      if (known == null || known.row().version() != row.version()) {
        sightings.put(row.key(), new Sighting(row, nowNanos));
      }
    }
    List<EntryPeer> listed = new ArrayList<>();
    sightings.forEach(
        (key, sighting) -> {
          if (nowNanos - sighting.changeNanos() < expiry.toNanos()) {
            decode(sighting).ifPresent(listed::add);
          }
        });
    peers = List.copyOf(listed);
  }

  private Optional<EntryPeer> decode(Sighting sighting) {
    Row row = sighting.row();
    String key = row.key().key();
    if (row.value().equals(key)) {
      return Optional.empty();
    }
    try {
      int slash = key.lastIndexOf('/');
      PeerId id = new PeerId(key.substring(slash + 1));
      AvailabilityZone zone = new AvailabilityZone(key.substring(0, Math.max(0, slash)));
      JsonNode value = JsonUtils.parse(row.value());
      InetSocketAddress address = AddressUtils.parseIpv4(value.path(ADDRESS).asText());
      EntryPeer peer = new EntryPeer(id, zone, address, sighting.changeNanos(), decodeCores(value));
      invalidRows.remove(row.key());
      return isSelf(id) ? Optional.empty() : Optional.of(peer);
    } catch (IllegalArgumentException e) {
      if (invalidRows.add(row.key())) {
        log.warn("row of an entry ignored", "entry", key, "reason", e.getMessage());
      }
      return Optional.empty();
    }
  }

  private boolean isSelf(PeerId id) {
    String key = self.key();
    return id.value().equals(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Decodes the processor cores, which entries of earlier versions don't publish. */
  private static double decodeCores(JsonNode value) {
    double cores = value.path(CORES).asDouble();
    return cores >= 0 && cores <= MAX_CORES ? cores : 0;
  }
}
